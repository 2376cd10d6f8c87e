package api

import (
	"context"
	"net/url"
)

// Workers reads the registry of workers.
func (c *Client) Workers(ctx context.Context) (WorkerList, error) {
	var answer WorkerList
	err := c.get(ctx, "/v1/workers", &answer)
	return answer, err
}

// Members reads the schedulers.
func (c *Client) Members(ctx context.Context) (MemberList, error) {
	var answer MemberList
	err := c.get(ctx, "/v1/members", &answer)
	return answer, err
}

// Queues reads the queues and what waits in them.
func (c *Client) Queues(ctx context.Context) (QueueList, error) {
	var answer QueueList
	err := c.get(ctx, "/v1/queues", &answer)
	return answer, err
}

// Queue reads one queue and what waits in it.
func (c *Client) Queue(ctx context.Context, name string) (QueueStatus, error) {
	var answer QueueStatus
	err := c.get(ctx, "/v1/queues/"+url.PathEscape(name), &answer)
	return answer, err
}
