package laceemulator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lacewingcove/lib/laceunit"
)

// generateRequest is a generation request; FirstChunk is the index of the first token to send.
type generateRequest struct {
	Request    string            `json:"request"`
	Attempt    string            `json:"attempt"`
	Model      laceunit.ModelID  `json:"model"`
	Prompt     string            `json:"prompt"`
	MaxTokens  laceunit.Tokens   `json:"max"`
	Priority   laceunit.Priority `json:"priority"`
	FirstChunk int               `json:"resume"`
}

// chunk is one token or the end of a response. The last chunk of a cancelled request has Cancelled set instead of End.
type chunk struct {
	Attempt      string          `json:"attempt"`
	Index        int             `json:"index"`
	Text         string          `json:"text,omitempty"`
	End          bool            `json:"end,omitempty"`
	Cancelled    bool            `json:"cancelled,omitempty"`
	OutputTokens laceunit.Tokens `json:"tokens,omitempty"`
	PromptTokens laceunit.Tokens `json:"prompt,omitempty"`
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req generateRequest
	if !readJSON(w, r, &req) {
		return
	}
	faults := e.drawFaults()
	switch {
	case faults.rejected:
		reject(w, http.StatusServiceUnavailable, "refused")
		return
	case req.Request == "" || req.Attempt == "" || req.FirstChunk < 0:
		reject(w, http.StatusBadRequest, "request, attempt or offset is missing")
		return
	case !e.serves(req.Model):
		reject(w, http.StatusNotFound, "model is not loaded")
		return
	}
	seed := completionSeed(req.Model, req.Prompt)
	j, err := e.submit(&job{
		requestID:    req.Request,
		attemptID:    req.Attempt,
		model:        req.Model,
		maxTokens:    req.MaxTokens,
		priority:     req.Priority,
		seed:         seed,
		prefixBlocks: PrefixBlocks(req.Model, req.Prompt),
		promptTokens: PromptTokens(req.Prompt),
		totalTokens:  int(completionLength(seed, req.MaxTokens)),
	})
	if err != nil {
		reject(w, http.StatusConflict, err.Error())
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Lace-Attempt", req.Attempt)
	s := &tokenStream{
		engine:     e,
		job:        j,
		attemptID:  req.Attempt,
		nextIndex:  req.FirstChunk,
		faults:     faults,
		writer:     w,
		controller: http.NewResponseController(w),
	}
	s.run(r.Context())
}

// tokenStream streams the tokens of a request to a client.
type tokenStream struct {
	engine     *Engine
	job        *job
	attemptID  string
	nextIndex  int
	faults     requestFaults
	writer     http.ResponseWriter
	controller *http.ResponseController
}

// jobProgress is a snapshot of the tokens that a stream can send.
type jobProgress struct {
	seed           uint64
	producedTokens int
	totalTokens    int
	promptTokens   laceunit.Tokens
	state          jobState
}

// run sends tokens as they are generated until the request ends or the client disconnects.
func (s *tokenStream) run(ctx context.Context) {
	// The connection may serve other requests after this one.
	defer func() { _ = s.controller.SetWriteDeadline(time.Time{}) }()
	if s.faults.delay > 0 && s.waitDelay(ctx) != nil {
		return
	}
	for {
		changed := s.engine.changed.next()
		p := s.progress()
		for s.nextIndex < p.producedTokens {
			if s.sendNextToken(ctx, p) != nil {
				return
			}
		}
		switch p.state {
		case jobDone:
			s.sendEnd(p)
			return
		case jobCancelled:
			_ = s.send(chunk{
				Attempt:      s.attemptID,
				Index:        s.nextIndex,
				Cancelled:    true,
				OutputTokens: laceunit.Tokens(p.producedTokens),
				PromptTokens: p.promptTokens,
			})
			return
		}
		select {
		case <-s.engine.stop:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// waitDelay waits until the response is complete, and then for the injected delay.
func (s *tokenStream) waitDelay(ctx context.Context) error {
	for {
		changed := s.engine.changed.next()
		if p := s.progress(); p.state == jobDone || p.state == jobCancelled {
			return sleep(ctx, s.faults.delay)
		}
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}

// progress returns the progress of the request. If the response is misrouted, it returns another request as finished,
// or, if there is none, only changes the attempt id.
func (s *tokenStream) progress() jobProgress {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	j := s.job
	if s.faults.misrouted {
		if o := s.engine.batch.anotherJob(j.requestID); o != nil {
			s.attemptID = o.attemptID
			return jobProgress{
				seed:           o.seed,
				producedTokens: o.totalTokens,
				totalTokens:    o.totalTokens,
				promptTokens:   o.promptTokens,
				state:          jobDone,
			}
		}
		s.attemptID = "crossed/" + s.job.attemptID
		s.faults.misrouted = false
	}
	return jobProgress{
		seed:           j.seed,
		producedTokens: j.producedTokens,
		totalTokens:    j.totalTokens,
		promptTokens:   j.promptTokens,
		state:          j.state,
	}
}

// sendNextToken sends the next token after applying the injected faults.
func (s *tokenStream) sendNextToken(ctx context.Context, p jobProgress) error {
	atFault := s.nextIndex == int(s.faults.position*float64(p.totalTokens))
	if s.faults.truncated && atFault {
		panic(http.ErrAbortHandler)
	}
	if s.faults.latency > 0 {
		if err := sleep(ctx, s.faults.latency); err != nil {
			return err
		}
	}
	index := s.nextIndex
	s.nextIndex++
	if s.faults.wrongLength && atFault {
		return nil
	}
	return s.send(chunk{
		Attempt: s.attemptID,
		Index:   index,
		Text:    completionToken(p.seed, index),
	})
}

// sendEnd sends the end chunk with the total token counts, regardless of the first chunk requested.
func (s *tokenStream) sendEnd(p jobProgress) {
	_ = s.send(chunk{
		Attempt:      s.attemptID,
		Index:        p.totalTokens,
		End:          true,
		OutputTokens: laceunit.Tokens(p.totalTokens),
		PromptTokens: p.promptTokens,
	})
}

func (s *tokenStream) send(c chunk) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_ = s.controller.SetWriteDeadline(time.Now().Add(maxHangTime)) // Unsupported by httptest.ResponseRecorder.
	if _, err := s.writer.Write([]byte("data: " + string(raw) + "\n\n")); err != nil {
		return err
	}
	return s.controller.Flush()
}
