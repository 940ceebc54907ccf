package callerhttp

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/azurebarrow/azurebarrow/generation"
)

func (s *Server) completions(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, textFormat{})
}

func (s *Server) chatCompletions(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, chatFormat{})
}

// serve handles a completion call. format builds its documents.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, format responseFormat) {
	request, failure := s.accept(w, r, format.isChat())
	if failure != nil {
		WriteError(w, failure.withKeyOf(r))
		return
	}
	release, failure := s.admit(r.Context(), request)
	if failure != nil {
		s.countFailure(request, failure)
		WriteError(w, failure)
		return
	}
	generated := 0
	defer func() { release(generated) }()
	opened, err := s.options.Generations.Open(r.Context(), request.request, request.resumeAfter)
	if err != nil {
		s.writeFailure(w, request, err)
		return
	}
	defer opened.Close()
	reader := s.observe(opened, request)
	reader.generated = &generated
	header := w.Header()
	header.Set(headerIdempotencyKey, request.request.Key.ID)
	header.Set(headerGeneration, reader.Generation())
	if request.stream {
		s.streamAnswer(w, r, request, reader, format)
		return
	}
	s.writeFullAnswer(w, r, request, reader, format)
}

// writeFailure logs and counts a request that failed, and sends the error to the caller.
func (s *Server) writeFailure(w http.ResponseWriter, request *acceptedRequest, err error) {
	failure := generationError(err, request.keyMinted)
	s.countFailure(request, failure)
	failure.nameKey(request)
	s.options.Log("request given up", generation.Field{Key: "request", Value: request.request.Key},
		generation.Field{Key: "code", Value: failure.Code}, generation.Field{Key: "outcome", Value: failure.Outcome},
		generation.Field{Key: "error", Value: err})
	WriteError(w, failure)
}

// writeFullAnswer reads a generation to its end and sends it as one document.
func (s *Server) writeFullAnswer(w http.ResponseWriter, r *http.Request, request *acceptedRequest, reader *observedReader, format responseFormat) {
	var text strings.Builder
	tokens := 0
	for {
		event, err := reader.Next(r.Context())
		if r.Context().Err() != nil {
			return // the caller disconnected
		}
		if err != nil {
			s.writeFailure(w, request, err)
			return
		}
		if event.Finish != "" {
			w.Header().Set("Content-Type", "application/json")
			// The caller may have disconnected; its retry gets the same answer.
			_ = json.NewEncoder(w).Encode(format.fullResponse(reader.Generation(), request.request, text.String(), event.Finish, tokens))
			return
		}
		text.WriteString(event.Token.Text)
		tokens++
	}
}

// streamAnswer sends each event as it arrives. The header is sent with the first event, so that a
// generation that fails before it gets its own HTTP status.
func (s *Server) streamAnswer(w http.ResponseWriter, r *http.Request, request *acceptedRequest, reader *observedReader, format responseFormat) {
	out := newEventWriter(w, format, reader.Generation(), request.request.Deployment)
	for {
		event, err := reader.Next(r.Context())
		if r.Context().Err() != nil {
			return // the caller disconnected
		}
		if errors.Is(err, io.EOF) {
			out.writeHeader()
			out.writeDone()
			return
		}
		if err != nil && !out.headerWritten {
			s.writeFailure(w, request, err)
			return
		}
		if err != nil {
			failure := generationError(err, request.keyMinted)
			failure.nameKey(request)
			s.countFailure(request, failure)
			out.writeFailure(failure)
			return
		}
		if err := out.writeEvent(event); err != nil {
			return // the caller disconnected
		}
		if event.Finish != "" {
			out.writeDone()
			return
		}
	}
}
