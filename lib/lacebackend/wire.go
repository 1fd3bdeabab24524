package lacebackend

import (
	"strconv"
	"time"

	"lacewingcove/lib/laceunit"
)

// Headers of the backend protocol.
const (
	headerRequest = "Lace-Request"
	headerAttempt = "Lace-Attempt"
	// headerOutcome with the value not_run marks a refusal of a request that did not run.
	headerOutcome = "Lace-Outcome"
	outcomeNotRun = "not_run"
)

// The kinds of cache events.
const (
	eventStored  = "stored"
	eventEvicted = "evicted"
)

type wireCall struct {
	Request  string `json:"request"`
	Attempt  string `json:"attempt"`
	Model    string `json:"model"`
	Prompt   string `json:"prompt"`
	Max      int64  `json:"max"`
	Priority int    `json:"priority"`
	Resume   int    `json:"resume"`
}

type wireChunk struct {
	Attempt string  `json:"attempt"`
	Index   *int    `json:"index"`
	Text    *string `json:"text"`
	End     bool    `json:"end"`
	// Cancelled marks the end of an answer that was cancelled, which is not whole.
	Cancelled bool   `json:"cancelled"`
	Tokens    *int64 `json:"tokens"`
	Prompt    *int64 `json:"prompt"`
}

type wireCancel struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
}

type wireStatus struct {
	Request string `json:"request"`
	Attempt string `json:"attempt"`
	State   string `json:"state"`
	Tokens  int64  `json:"tokens"`
	Prompt  int64  `json:"prompt"`
}

type wireLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	Cached  int `json:"cached"`
	// Age is in milliseconds.
	Age int64 `json:"age"`
}

type wireEvents struct {
	Events []wireEvent `json:"events"`
}

type wireEvent struct {
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	Block    string `json:"block"`
}

func (w wireCall) from(c GenerateRequest) wireCall {
	return wireCall{
		Request:  string(c.RequestID),
		Attempt:  string(c.Attempt),
		Model:    string(c.Model),
		Prompt:   c.Prompt,
		Max:      int64(c.MaxTokens),
		Priority: int(c.Priority),
		Resume:   c.FirstChunk,
	}
}

func (w wireStatus) status() (Status, bool) {
	s := Status{
		State:        State(w.State),
		Attempt:      laceunit.AttemptID(w.Attempt),
		OutputTokens: laceunit.Tokens(w.Tokens),
		PromptTokens: laceunit.Tokens(w.Prompt),
	}
	switch s.State {
	case StateAbsent, StateWaiting, StateRunning, StateDone, StateCancelled, StateFailed:
		return s, w.Tokens >= 0 && w.Prompt >= 0
	}
	return Status{}, false
}

func (w wireLoad) load() (Load, bool) {
	l := Load{
		Running:      w.Running,
		Waiting:      w.Waiting,
		Slots:        w.Slots,
		CachedTokens: w.Cached,
		Age:          time.Duration(w.Age) * time.Millisecond,
	}
	valid := w.Running >= 0 && w.Waiting >= 0 && w.Slots >= 0 && w.Age >= 0 && w.Cached >= 0
	return l, valid
}

func (w wireEvents) events(after uint64) (CacheEventPage, bool) {
	var page CacheEventPage
	last := after
	for _, e := range w.Events {
		prefix, err := strconv.ParseUint(e.Block, 16, 64)
		if err != nil || e.Sequence <= last || (e.Kind != eventStored && e.Kind != eventEvicted) {
			return CacheEventPage{}, false
		}
		if e.Sequence != last+1 {
			page.HasGap = true
		}
		last = e.Sequence
		page.Events = append(page.Events, CacheEvent{
			Sequence: e.Sequence,
			Prefix:   Prefix(prefix),
			Stored:   e.Kind == eventStored,
		})
	}
	return page, true
}
