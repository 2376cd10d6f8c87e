package leaderclient

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/internal/contexttime"
	"github.com/decklever/decklever/internal/protocol"
	"github.com/decklever/decklever/internal/rpc"
)

const (
	// watchWait is how long the leader may hold a watch call.
	watchWait = 500 * time.Millisecond
	// watchTimeout bounds a held watch call.
	watchTimeout = watchWait + answerGrace
	// minCallInterval is the least time between two calls.
	minCallInterval = 10 * time.Millisecond
	// initialRetryBackoff and maxRetryBackoff bound the jittered pause after a failure.
	initialRetryBackoff = 30 * time.Millisecond
	maxRetryBackoff     = 100 * time.Millisecond
	// maxRedirects is how many hints in a row are followed without a pause.
	maxRedirects = 2
)

// Config is what a Link needs.
type Config struct {
	// Process, Role ("front" or "agent") and Zone say who watches.
	Process, Role, Zone string
	// Seeds returns the schedulers' addresses now in the settings.
	Seeds func() []string
	// VersionOnly: only the version of the configuration is of use here; Config
	// stays nil and OnConfig gets nil.
	VersionOnly bool
	Client      *rpc.Client
	Logger      *slog.Logger
	// OnConfig is called with each newer configuration, before it is confirmed
	// to the leader; one call at a time, while Run does. Optional; it must not
	// block for long.
	OnConfig func(version uint64, config *api.Config)
}

type watchFunc func(ctx context.Context, address string, request protocol.WatchRequest) (protocol.WatchAnswer, error)

// Client tracks the leader. Its methods are safe for concurrent use.
type Client struct {
	config  Config
	watch   watchFunc
	started time.Time

	mutex     sync.Mutex
	zone      string
	state     state
	redirects int                // since the last accepted answer
	interrupt context.CancelFunc // ends the round under way; nil between rounds
	// overdueCalls are calls to a leader that have been without an answer for long.
	overdueCalls map[*supervisedCall]struct{}

	// resultMutex orders the outcomes of calls.
	resultMutex sync.Mutex
	// probes are the calls that ask who leads, one at a time for each address.
	probes  sync.WaitGroup
	probing map[string]bool
}

// New makes a link that knows nothing until Run has had an answer.
func New(config Config) *Client {
	client := &Client{
		config:       config,
		started:      time.Now(),
		zone:         config.Zone,
		state:        state{failedAt: make(map[string]time.Duration), versionOnly: config.VersionOnly},
		overdueCalls: make(map[*supervisedCall]struct{}),
		probing:      make(map[string]bool),
	}
	if client.config.Logger == nil {
		client.config.Logger = slog.New(slog.DiscardHandler)
	}
	client.watch = func(ctx context.Context, address string, request protocol.WatchRequest) (protocol.WatchAnswer, error) {
		return rpc.Call[protocol.WatchRequest, protocol.WatchAnswer](ctx, config.Client, address, protocol.MethodWatch, request)
	}
	return client
}

// Run watches until ctx ends; it returns nil.
func (l *Client) Run(ctx context.Context) error {
	defer l.probes.Wait()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = initialRetryBackoff
	pause.MaxInterval = maxRetryBackoff
	for ctx.Err() == nil {
		l.iterate(ctx, pause)
		contexttime.Sleep(ctx, minCallInterval)
	}
	return nil
}

// iterate makes one call and, if it failed, pauses. Hint, Failed, ObserveToken
// and a call in doubt cut both short.
func (l *Client) iterate(running context.Context, pause *backoff.ExponentialBackOff) {
	ctx, cancel := context.WithCancel(running)
	defer cancel()
	l.mutex.Lock()
	l.interrupt = cancel
	address, confirmed := l.state.target()
	var candidates []string
	if !confirmed {
		candidates = l.state.candidates(l.config.Seeds())
	}
	l.mutex.Unlock()
	defer l.endIteration()

	if confirmed && l.watchLeader(ctx, address) || !confirmed && l.queryCandidates(running, ctx, candidates) {
		pause.Reset()
		return
	}
	contexttime.Sleep(ctx, pause.NextBackOff())
}

func (l *Client) endIteration() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.interrupt = nil
}

// watchResult is what came of one watch call.
type watchResult struct {
	address string
	sentAt  time.Duration
	answer  protocol.WatchAnswer
	err     error
}

// watchLeader makes one held watch call and reports whether the next may follow
// at once.
func (l *Client) watchLeader(ctx context.Context, address string) bool {
	maxWait := l.watchWait()
	calling, cancel := context.WithTimeout(ctx, maxWait+answerGrace)
	defer cancel()
	if maxWait > watchWait {
		return l.watchBesideHeartbeats(ctx, calling, cancel, address, maxWait)
	}
	_, retryNow := l.handleResult(ctx, l.watchOnce(calling, address, maxWait))
	return retryNow
}

func (l *Client) watchOnce(ctx context.Context, address string, maxWait time.Duration) watchResult {
	sentAt := l.now()
	answer, err := l.watch(ctx, address, l.request(maxWait))
	return watchResult{address: address, sentAt: sentAt, answer: answer, err: err}
}

// handleResult takes the outcome of a call in. It reports whether the answer was
// accepted, and whether the next call may follow at once.
func (l *Client) handleResult(ctx context.Context, got watchResult) (accepted, retryNow bool) {
	l.resultMutex.Lock()
	defer l.resultMutex.Unlock()
	if got.err != nil {
		return false, l.handleFailure(ctx, got)
	}
	if err := l.accept(got.sentAt, got.address, got.answer); err != nil {
		l.config.Logger.Warn("watch answer refused", slog.String("address", got.address), slog.Any("error", err))
		l.reject(got.address)
		return false, false
	}
	return true, true
}

func (l *Client) request(maxWait time.Duration) protocol.WatchRequest {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return protocol.WatchRequest{
		Process:       l.config.Process,
		Role:          l.config.Role,
		Zone:          l.zone,
		ConfigVersion: l.state.configVersion,
		Token:         l.state.token,
		MaxWaitMillis: maxWait.Milliseconds(),
		VersionOnly:   l.config.VersionOnly,
	}
}

// handleFailure handles a call without an answer and reports whether a hint makes
// it worth asking again at once.
func (l *Client) handleFailure(ctx context.Context, got watchResult) bool {
	if ctx.Err() != nil || l.predatesConfirmation(got) {
		return false
	}
	address := got.address
	var refusal *rpc.Error
	if errors.As(got.err, &refusal) && refusal.Code == rpc.CodeNotLeader {
		return l.followRedirect(address, refusal.LeaderAddress)
	}
	l.config.Logger.Debug("watch failed", slog.String("address", address), slog.Any("error", got.err))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if refusal == nil || refusal.Code == rpc.CodeTransport {
		l.state.observeFailure(l.now(), address)
		return false
	}
	if l.state.leader == address {
		l.state.forgetLeader()
	}
	return false
}

// predatesConfirmation reports whether a leader has answered since the call was sent.
func (l *Client) predatesConfirmation(got watchResult) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.confirmed && got.sentAt < l.state.confirmedAt
}

// followRedirect takes the hint of a scheduler that does not lead. A hint that is no
// news is no reason to ask again at once.
func (l *Client) followRedirect(address, hint string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.leader == address {
		l.state.forgetLeader()
	}
	if hint == "" || hint == address {
		return false
	}
	if !l.state.observeHint(l.now(), hint) {
		return false
	}
	// Schedulers may point at each other while they elect.
	l.redirects++
	return l.state.leader != "" && l.redirects <= maxRedirects
}

func (l *Client) reject(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.state.reject(l.now(), address)
}

func (l *Client) accept(sentAt time.Duration, address string, answer protocol.WatchAnswer) error {
	l.mutex.Lock()
	before := l.state.leader
	newer, err := l.state.accept(l.now(), sentAt, address, answer)
	leader := l.state.leader
	if err == nil {
		l.redirects = 0
		l.cancelOverdueCalls(leader)
	}
	l.mutex.Unlock()
	if err != nil {
		return err
	}
	if leader != before {
		l.config.Logger.Info("leader learned", slog.String("address", leader), slog.Uint64("token", answer.Token))
	}
	if !newer {
		return nil
	}
	if l.config.OnConfig != nil {
		l.config.OnConfig(answer.ConfigVersion, answer.Config)
	}
	l.mutex.Lock()
	l.state.adopt(answer.ConfigVersion, answer.Config)
	l.mutex.Unlock()
	l.logConfigInForce(answer.ConfigVersion)
	return nil
}

// Leader returns the address to send calls to, if one is known.
func (l *Client) Leader() (address string, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.leader, l.state.leader != ""
}

// PreviousLeader returns the leader that was last forgotten. It may lead, its
// answers lost or its lease not renewed in time; if not, it may know who does.
func (l *Client) PreviousLeader() (address string, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.previousLeader, l.state.previousLeader != ""
}

func (l *Client) logConfigInForce(version uint64) {
	l.config.Logger.Info("configuration in force", slog.Uint64("config_version", version))
}

// ObserveHint takes the leader's address from a refusal with rpc.CodeNotLeader. An
// empty address means that the leader is unknown.
func (l *Client) ObserveHint(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.observeHint(l.now(), address) {
		l.interruptIteration()
	}
}

// ReportFailure reports that a call to the address had no answer.
func (l *Client) ReportFailure(address string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.observeFailure(l.now(), address) {
		l.interruptIteration()
	}
}

// ObserveToken reports whether the token is not lower than the highest seen,
// and remembers it. An answer with a lower one must be dropped.
func (l *Client) ObserveToken(token uint64) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	current, raised := l.state.observeToken(token)
	if raised {
		l.interruptIteration()
	}
	return current
}

// Token returns the highest token seen.
func (l *Client) Token() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.token
}

// ConfigVersion returns the version of the configuration in force here.
func (l *Client) ConfigVersion() uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.configVersion
}

// Config returns the configuration in force here, or nil before the first. It
// must not be changed.
func (l *Client) Config() *api.Config {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.config
}

// Fresh reports whether the last watch answer's hold still stands.
func (l *Client) Fresh() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.state.fresh(l.now())
}

// Age returns the time since the last watch answer, and false if none was had.
func (l *Client) Age() (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.state.freshUntil == 0 {
		return 0, false
	}
	return l.now() - l.state.answeredAt, true
}

// SetZone changes the zone that later watch calls name.
func (l *Client) SetZone(zone string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.zone = zone
}

// interruptIteration cuts the round under way short. The caller holds the mutex.
func (l *Client) interruptIteration() {
	if l.interrupt != nil {
		l.interrupt()
	}
}

func (l *Client) now() time.Duration { return time.Since(l.started) }
