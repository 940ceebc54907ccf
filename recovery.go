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
	store        *journal.Store
	journal      *journal.Journal
	crashRecords *journalpeer.CrashRecords
	peers        *journalpeer.Client
}

// buildGenerations creates the generation manager and its journal.
func (e *Entry) buildGenerations(view membership.View, client *http.Client, chooser generation.Chooser) {
	view = e.newStartupView(view)
	peers := journalpeer.NewClient(view, client)
	limits := journal.Limits{Bytes: int(e.settings.Limits.ReplicaBytes), Expiry: 2 * e.settings.Limits.RetryWindow}
	store := journal.NewStore(limits)
	e.recovery = recovery{
		store:        store,
		journal:      journal.New(journal.Options{View: view, Store: store, Transport: peers}),
		crashRecords: journalpeer.NewCrashRecords(peers),
		peers:        peers,
	}
	e.generations = generation.NewManager(generation.Options{
		EntryName:     e.settings.Name,
		Engine:        enginehttp.New(enginehttp.Options{ObserveDraining: e.control.watcher.ObserveRefusal, Send: e.links.send}),
		Chooser:       chooser,
		Journal:       e.recovery.journal,
		Peers:         peers,
		CrashRecords:  e.recovery.crashRecords,
		IsDown:        e.isEngineDown,
		Target:        e.targetByName,
		DrainDeadline: e.control.drainingTargets.Deadline,
		RetryWindow:   e.settings.Limits.RetryWindow,
		Log:           e.logEvent,
		ObserveResume: func(deployment string, took time.Duration) {
			e.objectives.RecordLatency(deployment, v1.ObjectiveResumeLatency, took)
		},
	})
	e.registerRecoveryMetrics()
}

// registerRecoveryMetrics registers the metrics of the journal and of recovery.
func (e *Entry) registerRecoveryMetrics() {
	journaled, generated := e.recovery.journal.Stats(), e.generations.Stats()
	for name, read := range map[string]func() int64{
		"journal_bytes":            e.recovery.peers.BytesSent,
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
		e.metrics.AddCounter(name, read)
	}
	e.metrics.AddGauge("journal_held_bytes", func() float64 { return float64(e.recovery.store.Bytes()) })
}

// mount registers the handler of the journal's peer protocol.
func (r *recovery) mount(mux *http.ServeMux, generations *generation.Manager) {
	mux.Handle(journalpeer.NewHandler(r.store, generations, r.crashRecords))
}

func (e *Entry) targetByName(name string) *v1.Target {
	return e.configuration.Snapshot().Targets[name]
}
