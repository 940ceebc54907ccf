package azurebarrow

import (
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/adapters/enginehttp"
	"github.com/azurebarrow/azurebarrow/adapters/peertwirp/journalpeer"
	v1 "github.com/azurebarrow/azurebarrow/api/v1"
	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/journal"
	"github.com/azurebarrow/azurebarrow/membership"
)

// recovery holds the journal and the peer client by which generations survive the failure of engines
// and entries.
type recovery struct {
	store    *journal.Store
	journal  *journal.Journal
	suspects *journalpeer.Suspects
	peers    *journalpeer.Client
}

// buildGenerations creates the generation manager and its journal.
func (n *Entry) buildGenerations(view membership.View, client *http.Client, chooser generation.Chooser) {
	view = n.newStartupView(view)
	peers := journalpeer.NewClient(view, client)
	limits := journal.Limits{Bytes: int(n.settings.Limits.ReplicaBytes), Expiry: 2 * n.settings.Limits.RetryWindow}
	store := journal.NewStore(limits)
	n.recovery = recovery{
		store:    store,
		journal:  journal.New(journal.Options{View: view, Store: store, Transport: peers}),
		suspects: journalpeer.NewSuspects(peers),
		peers:    peers,
	}
	n.generations = generation.NewManager(generation.Options{
		EntryName:     n.settings.Name,
		Engine:        enginehttp.New(enginehttp.Options{ObserveLeaving: n.control.watcher.ObserveRefusal}),
		Chooser:       chooser,
		Journal:       n.recovery.journal,
		Peers:         peers,
		CrashRecords:  n.recovery.suspects,
		Target:        n.targetByName,
		DrainDeadline: n.control.drainingTargets.Deadline,
		RetryWindow:   n.settings.Limits.RetryWindow,
		Log:           n.logEvent,
		ObserveResume: func(deployment string, took time.Duration) {
			n.objectives.Latency(deployment, v1.ObjectiveResumeLatency, took)
		},
	})
	n.registerRecoveryMetrics()
}

// registerRecoveryMetrics registers the metrics of the journal and of recovery.
func (n *Entry) registerRecoveryMetrics() {
	journaled, generated := n.recovery.journal.Stats(), n.generations.Stats()
	for name, read := range map[string]func() int64{
		"journal_bytes":            n.recovery.peers.BytesSent,
		"journal_batches":          journaled.Batches.Load,
		"journal_tokens":           journaled.Tokens.Load,
		"journal_replicas_dropped": journaled.ReplicasReplaced.Load,
		"recovery_takeovers":       generated.Takeovers.Load,
		"recovery_superseded":      generated.Superseded.Load,
		"recovery_attached":        generated.Attached.Load,
		"recovery_attempts":        generated.Attempts.Load,
		"recovery_speculative":     generated.Speculative.Load,
		"recovery_broken":          generated.Broken.Load,
		"recovery_suspicions":      generated.Suspicions.Load,
		"recovery_degraded":        generated.Degraded.Load,
		"recovery_poison_refused":  generated.PoisonRefused.Load,
	} {
		n.metrics.Count(name, read)
	}
	n.metrics.Show("journal_held_bytes", func() float64 { return float64(n.recovery.store.Bytes()) })
}

// mount registers the handler of the journal's peer protocol.
func (r *recovery) mount(mux *http.ServeMux, generations *generation.Manager) {
	mux.Handle(journalpeer.NewHandler(r.store, generations, r.suspects))
}

func (n *Entry) targetByName(name string) *v1.Target {
	return n.configuration.Snapshot().Targets[name]
}
