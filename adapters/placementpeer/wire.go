package placementpeer

import (
	"errors"
	"math"
	"time"

	"github.com/azurebarrow/azurebarrow/generation"
	"github.com/azurebarrow/azurebarrow/placementcontrol"
	"github.com/azurebarrow/azurebarrow/routing"
)

// wireReport is a report in the wire format.
type wireReport struct {
	Entry       string       `json:"entry"`
	Incarnation uint64       `json:"incarnation"`
	Sequence    int64        `json:"sequence"`
	Service     string       `json:"service"`
	Engines     []wireEngine `json:"engines,omitempty"`
	Paces       []wirePace   `json:"paces,omitempty"`
	Tickets     []uint64     `json:"tickets,omitempty"`
}

// wireEngine is the load of an entry on an engine. Tokens are whole numbers.
type wireEngine struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Streams  int     `json:"streams,omitempty"`
	Prefill  float64 `json:"prefill,omitempty"`
	Resident float64 `json:"resident,omitempty"`
	Copies   float64 `json:"copies,omitempty"`
	Lost     bool    `json:"lost,omitempty"`
	Refused  bool    `json:"refused,omitempty"`
}

type wirePace struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	GapUs   int64  `json:"gap_us"`
}

// wireRequest is a placement request in the wire format.
type wireRequest struct {
	wireReport
	Zone         string   `json:"zone"`
	Request      string   `json:"request"`
	Customer     string   `json:"customer,omitempty"`
	Priority     int      `json:"priority,omitempty"`
	PromptTokens int      `json:"prompt_tokens,omitempty"`
	OutputTokens int      `json:"output_tokens,omitempty"`
	CachedAt     string   `json:"cached_at,omitempty"`
	Affinity     string   `json:"affinity,omitempty"`
	Exclude      []string `json:"exclude,omitempty"`
	WaitedMs     int64    `json:"waited_ms,omitempty"`
	ObjectiveMs  int64    `json:"objective_ms,omitempty"`
	DeadlineMs   int64    `json:"deadline_ms,omitempty"`
	Begun        bool     `json:"begun,omitempty"`
	Queued       bool     `json:"queued,omitempty"`
}

// wireAnswer is an answer in the wire format.
type wireAnswer struct {
	Engine       string `json:"engine,omitempty"`
	Address      string `json:"address,omitempty"`
	Ticket       uint64 `json:"ticket,omitempty"`
	Queued       bool   `json:"queued,omitempty"`
	Position     int    `json:"position,omitempty"`
	Refused      bool   `json:"refused,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

func reportToWire(report placementcontrol.Report) wireReport {
	wire := wireReport{
		Entry: report.Entry, Incarnation: report.Incarnation, Sequence: report.Sequence, Service: report.Service, Tickets: report.Tickets,
	}
	for _, each := range report.Engines {
		wire.Engines = append(wire.Engines, wireEngine{
			ID: each.ID, Address: each.Address, Streams: min(max(0, each.Streams), maxStreams), Prefill: wholeTokens(each.PrefillTokens),
			Resident: wholeTokens(each.ResidentTokens), Copies: wholeTokens(each.CopyTokens), Lost: each.Lost, Refused: each.Refused,
		})
	}
	for _, each := range report.Paces {
		wire.Paces = append(wire.Paces, wirePace{each.ID, each.Address, min(max(1, each.Gap.Microseconds()), maxMs)})
	}
	return wire
}

// wholeTokens rounds a number of tokens. Sums of removed streams may leave a little less than 0, and callers may declare any size.
func wholeTokens(tokens float64) float64 { return min(max(0, math.Round(tokens)), maxTokens) }

func wholeMs(d time.Duration) int64 { return min(max(0, d.Milliseconds()), maxMs) }

func requestToWire(request placementcontrol.Request) wireRequest {
	return wireRequest{
		wireReport: reportToWire(request.Report), Zone: request.Zone, Request: request.ID, Customer: request.Customer, Priority: request.Priority,
		PromptTokens: min(max(0, request.Size.Prompt), maxTokens), OutputTokens: min(max(0, request.Size.Output), maxTokens), CachedAt: request.CachedAt, Affinity: request.Affinity,
		Exclude: request.Exclude, WaitedMs: wholeMs(request.Waited), ObjectiveMs: wholeMs(request.Objective), DeadlineMs: wholeMs(request.TimeLeft),
		Begun: request.Begun, Queued: request.Queued,
	}
}

func answerToWire(answer placementcontrol.Answer) wireAnswer {
	return wireAnswer{
		Engine: answer.Engine, Address: answer.Address, Ticket: answer.Ticket, Queued: answer.Queued, Position: answer.Position,
		Refused: answer.Refused, RetryAfterMs: wholeMs(answer.RetryAfter),
	}
}

// Limits of the numbers in a message, far above what occurs: sums of them must not overflow.
const (
	maxTokens  = 1e12
	maxStreams = 1 << 24
	maxMs      = 1 << 31
)

var (
	errNoSender  = errors.New("the message has no entry or service")
	errBadLoad   = errors.New("the load of an engine is not valid")
	errBadPace   = errors.New("a pace is not valid")
	errBadStream = errors.New("the size or a time of the stream is not valid")
	errBadAnswer = errors.New("the answer is not valid")
)

func (w wireReport) decode() (placementcontrol.Report, error) {
	report := placementcontrol.Report{Entry: w.Entry, Incarnation: w.Incarnation, Sequence: w.Sequence, Service: w.Service, Tickets: w.Tickets}
	if w.Entry == "" || w.Service == "" {
		return report, errNoSender
	}
	if len(w.Engines) > 0 {
		report.Engines = make([]routing.EngineLoad, 0, len(w.Engines))
	}
	for _, each := range w.Engines {
		if each.ID == "" || each.Streams < 0 || each.Streams > maxStreams || !isTokens(each.Prefill) || !isTokens(each.Resident) || !isTokens(each.Copies) {
			return report, errBadLoad
		}
		report.Engines = append(report.Engines, routing.EngineLoad{
			ID: each.ID, Address: each.Address, Streams: each.Streams, PrefillTokens: each.Prefill, ResidentTokens: each.Resident,
			CopyTokens: each.Copies, Lost: each.Lost, Refused: each.Refused,
		})
	}
	for _, each := range w.Paces {
		if each.ID == "" || each.GapUs <= 0 || each.GapUs > maxMs {
			return report, errBadPace
		}
		report.Paces = append(report.Paces, routing.PaceSample{
			ID: each.ID, Address: each.Address, Service: w.Service, Gap: time.Duration(each.GapUs) * time.Microsecond,
		})
	}
	return report, nil
}

func isTokens(number float64) bool { return number >= 0 && number <= maxTokens }

func (w wireRequest) decode() (placementcontrol.Request, error) {
	report, err := w.wireReport.decode()
	if err == nil && !(isCount(w.PromptTokens) && isCount(w.OutputTokens) && isMs(w.WaitedMs) && isMs(w.ObjectiveMs) && isMs(w.DeadlineMs)) {
		err = errBadStream
	}
	return placementcontrol.Request{
		Report: report, Zone: w.Zone, ID: w.Request, Customer: w.Customer, Priority: w.Priority,
		Size:     generation.StreamSize{Prompt: w.PromptTokens, Output: w.OutputTokens},
		CachedAt: w.CachedAt, Affinity: w.Affinity, Exclude: w.Exclude, Waited: time.Duration(w.WaitedMs) * time.Millisecond,
		Objective: time.Duration(w.ObjectiveMs) * time.Millisecond,
		TimeLeft:  time.Duration(w.DeadlineMs) * time.Millisecond, Begun: w.Begun, Queued: w.Queued,
	}, err
}

func isCount(number int) bool { return number >= 0 && number <= maxTokens }

func isMs(number int64) bool { return number >= 0 && number <= maxMs }

func (w wireAnswer) decode() (placementcontrol.Answer, error) {
	answer := placementcontrol.Answer{
		Engine: w.Engine, Address: w.Address, Ticket: w.Ticket, Queued: w.Queued, Position: w.Position, Refused: w.Refused,
		RetryAfter: time.Duration(w.RetryAfterMs) * time.Millisecond,
	}
	if !isMs(w.RetryAfterMs) || w.Position < 0 {
		return placementcontrol.Answer{}, errBadAnswer
	}
	return answer, nil
}
