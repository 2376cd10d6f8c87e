package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/raft"
	"github.com/decklever/decklever/internal/record"
)

// listWorkers returns the status of every worker incarnation that the leader tracks
// from the record or from this term's heartbeats, sorted by name.
func (l *leader) listWorkers(context.Context, protocol.Empty) (protocol.WorkersAnswer, error) {
	if !l.log.HoldsLease(l.token) {
		return protocol.WorkersAnswer{}, l.notLeader()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	list := api.WorkerList{Workers: []api.WorkerStatus{}}
	for _, worker := range l.registry.byID {
		list.Workers = append(list.Workers, l.workerStatus(worker))
	}
	slices.SortFunc(list.Workers, func(a, b api.WorkerStatus) int {
		return strings.Compare(a.Name+" "+a.WorkerID, b.Name+" "+b.WorkerID)
	})
	return protocol.WorkersAnswer{List: list}, nil
}

func (l *leader) workerStatus(worker *workerEntry) api.WorkerStatus {
	now := l.now()
	state, reason := worker.state(now, l.registry.leaseDuration())
	status := api.WorkerStatus{
		Name: worker.info.Name, WorkerID: worker.info.ID, Zone: worker.info.Zone,
		State: state, Reason: reason,
		Capacity: worker.info.Capacity, Services: append([]string{}, worker.info.Services...), Labels: worker.info.Labels,
		Runs: len(worker.runs), SilentMillis: l.registry.sinceLastSeen(worker, now).Milliseconds(),
	}
	for _, run := range worker.runs {
		status.Used = status.Used.Add(run.spec.Resources)
	}
	return status
}

// listMembers returns the status of the voters and learners of the control plane.
func (l *leader) listMembers(context.Context, protocol.Empty) (protocol.MembersAnswer, error) {
	if !l.log.HoldsLease(l.token) {
		return protocol.MembersAnswer{}, l.notLeader()
	}
	status := l.log.Status()
	now := l.now()
	list := api.MemberList{Token: status.Term, CommitIndex: status.Commit, Members: []api.MemberStatus{}}
	for _, member := range slices.Concat(status.Membership.Voters, status.Membership.Learners) {
		list.Members = append(list.Members, memberStatus(&status, member, now))
	}
	return protocol.MembersAnswer{List: list}, nil
}

// memberStatus returns the status of a member. A new member is shown as a voter only
// once it votes whether or not the membership change that added it takes effect.
// Before that, the loss of another voter may leave no majority.
func memberStatus(status *raft.Status, member raft.Member, now time.Duration) api.MemberStatus {
	row := api.MemberStatus{
		ReplicaID: string(member.ID), Name: member.Name, Zone: member.Zone, Address: member.Address,
		Leader: member.ID == status.Leader, Voter: status.IsVoter(member.ID),
	}
	if row.Leader {
		row.Matched = status.LastIndex
	}
	for _, progress := range status.Progress {
		if progress.ID == member.ID && !row.Leader {
			row.Matched = progress.Match
			row.SilentMillis = max(0, now-progress.LastSeen).Milliseconds()
		}
	}
	return row
}

// readQueue returns the status of one queue.
func (l *leader) readQueue(_ context.Context, request protocol.QueueRequest) (protocol.QueueAnswer, error) {
	var answer protocol.QueueAnswer
	var known bool
	l.log.Record().Read(func(view record.View) {
		_, config := view.Config()
		known = findQueue(config, request.Name) != nil
		answer.Status = l.queueStatus(view, request.Name)
	})
	if !l.log.HoldsLease(l.token) {
		return protocol.QueueAnswer{}, l.notLeader()
	}
	if !known {
		return protocol.QueueAnswer{}, notFoundError("queue", request.Name)
	}
	return answer, nil
}

func (l *leader) queueStatus(view record.View, name string) api.QueueStatus {
	counts := view.QueueCounts(name)
	l.mu.Lock()
	wait, overloaded := l.admission.slo.ExpectedWait(name)
	l.mu.Unlock()
	return api.QueueStatus{
		Name: name, Jobs: counts.Jobs, WaitingJobs: l.jobsPendingStart(name),
		Pending: counts.PendingTasks, Running: counts.RunningTasks,
		ExpectedWaitMillis: wait.Milliseconds(), Overloaded: overloaded,
	}
}

// listQueues returns the status of each queue.
func (l *leader) listQueues(context.Context, protocol.Empty) (protocol.QueuesAnswer, error) {
	list := api.QueueList{Queues: []api.QueueStatus{}}
	l.log.Record().Read(func(view record.View) {
		asOf := view.Clock().Time()
		list.AsOf = &asOf
		_, config := view.Config()
		for _, queue := range config.Queues {
			list.Queues = append(list.Queues, l.queueStatus(view, queue.Name))
		}
	})
	if !l.log.HoldsLease(l.token) {
		return protocol.QueuesAnswer{}, l.notLeader()
	}
	return protocol.QueuesAnswer{List: list}, nil
}
