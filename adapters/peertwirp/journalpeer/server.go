package journalpeer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/health"
	"github.com/azurebarrow/azurebarrow/journal"
)

// Tailer returns the tokens of the generations that this entry produces; generation.Manager implements it.
type Tailer interface {
	Tail(ctx context.Context, request generation.TailRequest) (generation.TailReply, error)
}

// Server handles the requests of other entries. It implements Journal.
type Server struct {
	store          *journal.Store
	tailer         Tailer
	crashes        *health.Crashes
	isolationSlots *generation.IsolationSlots
}

// NewHandler returns the HTTP handler of the service and the path prefix at which to mount it. The
// requests of other entries read and update this entry's crash records and isolation slots in records.
func NewHandler(store *journal.Store, tailer Tailer, records *CrashRecords) (pathPrefix string, handler http.Handler) {
	server := NewJournalServer(&Server{
		store:          store,
		tailer:         tailer,
		crashes:        records.crashes,
		isolationSlots: records.isolationSlots,
	})
	return server.PathPrefix(), server
}

// Exchange implements Journal.
func (s *Server) Exchange(_ context.Context, request *ExchangeRequest) (*ExchangeReply, error) {
	if err := checkVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	result := s.store.Exchange(toBatch(request))
	return &ExchangeReply{Installs: fromResults(result.Installs), Appends: fromResults(result.Appends)}, nil
}

// Read implements Journal.
func (s *Server) Read(_ context.Context, request *ReadRequest) (*Copy, error) {
	if err := checkVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	return fromCopy(s.store.Read(request.Key)), nil
}

// Takeover implements Journal.
func (s *Server) Takeover(_ context.Context, request *TakeoverRequestMessage) (*TakeoverReply, error) {
	if err := checkVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	result := s.store.Takeover(journal.TakeoverRequest{Key: request.Key, Term: int(request.Term), Producer: request.Producer})
	return &TakeoverReply{Granted: result.Granted, Copy: fromCopy(result.Copy)}, nil
}

// Tail implements Journal.
func (s *Server) Tail(ctx context.Context, request *TailRequest) (*TailReply, error) {
	if err := checkVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	reply, err := s.tailer.Tail(ctx, generation.TailRequest{
		Key:      request.Key,
		BodyHash: request.BodyHash,
		From:     int(request.From),
		Wait:     time.Duration(request.WaitMs) * time.Millisecond,
	})
	if errors.Is(err, generation.ErrNotProducer) {
		return &TailReply{}, nil
	}
	if err != nil {
		return nil, err
	}
	return &TailReply{
		Found:      true,
		Opening:    reply.Opening,
		Generation: reply.Generation,
		Lineage:    fromLineage(reply.Lineage),
		Pin:        fromPin(reply.Pin),
		Tokens:     reply.Tokens,
		Finish:     string(reply.Finish),
	}, nil
}

// Suspect implements Journal.
func (s *Server) Suspect(_ context.Context, request *SuspectRequest) (*SuspectReply, error) {
	if err := checkVersion(request.ProtocolVersion); err != nil {
		return nil, err
	}
	now := time.Now()
	reply := &SuspectReply{}
	switch request.Action {
	case SuspectAction_SUSPECT_ACTION_CHARGE:
		for _, target := range request.Targets {
			s.crashes.Record(request.Fingerprint, target, now)
		}
	case SuspectAction_SUSPECT_ACTION_CLEAR:
		s.crashes.AllowParts([]string{health.RequestPart(request.Fingerprint)})
	case SuspectAction_SUSPECT_ACTION_ISOLATE:
		until := now.Add(time.Duration(request.HoldMs) * time.Millisecond)
		reply.Granted = s.isolationSlots.Acquire(request.Deployment, request.Holder, until, now)
	case SuspectAction_SUSPECT_ACTION_RELEASE:
		s.isolationSlots.Release(request.Deployment, request.Holder)
	}
	reply.Targets = s.crashes.Targets(request.Fingerprint, now)
	return reply, nil
}
