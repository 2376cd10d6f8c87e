package api

import (
	"context"
	"net/url"
)

// Workers returns the worker incarnations that the leader tracks.
func (c *Client) Workers(ctx context.Context) (WorkerList, error) {
	var answer WorkerList
	err := c.get(ctx, "/v1/workers", &answer)
	return answer, err
}

// Members returns the schedulers.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	var answer MemberList
	err := c.get(ctx, "/v1/members", &answer)
	return answer, err
}

// Queues returns all queues with their numbers of jobs and tasks.
func (c *Client) Queues(ctx context.Context) (QueueList, error) {
	var answer QueueList
	err := c.get(ctx, "/v1/queues", &answer)
	return answer, err
}

// Queue returns one queue with its numbers of jobs and tasks.
func (c *Client) Queue(ctx context.Context, name string) (QueueStatus, error) {
	var answer QueueStatus
	err := c.get(ctx, "/v1/queues/"+url.PathEscape(name), &answer)
	return answer, err
}
