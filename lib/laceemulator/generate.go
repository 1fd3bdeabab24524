package laceemulator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"lacewingcove/lib/laceunit"
)

// generateRequest asks for an answer; Resume is the index of the first token that is sent.
type generateRequest struct {
	Request    string            `json:"request"`
	Attempt    string            `json:"attempt"`
	Model      laceunit.ModelID  `json:"model"`
	Prompt     string            `json:"prompt"`
	MaxTokens  laceunit.Tokens   `json:"max"`
	Priority   laceunit.Priority `json:"priority"`
	FirstChunk int               `json:"resume"`
}

// chunk is one token, or the end of an answer. A cancelled request gets a last chunk without an end.
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
	var q generateRequest
	if !readJSON(w, r, &q) {
		return
	}
	m := e.draw()
	switch {
	case m.refused:
		refuse(w, http.StatusServiceUnavailable, "refused")
		return
	case q.Request == "" || q.Attempt == "" || q.FirstChunk < 0:
		refuse(w, http.StatusBadRequest, "request, attempt or offset is missing")
		return
	case !e.serves(q.Model):
		refuse(w, http.StatusNotFound, "model is not loaded")
		return
	}
	seed := answerSeed(q.Model, q.Prompt)
	j, err := e.submit(&job{
		request:  q.Request,
		attempt:  q.Attempt,
		model:    q.Model,
		most:     q.MaxTokens,
		priority: q.Priority,
		seed:     seed,
		blocks:   PrefixBlocks(q.Model, q.Prompt),
		prompt:   PromptTokens(q.Prompt),
		total:    int(answerLength(seed, q.MaxTokens)),
	})
	if err != nil {
		refuse(w, http.StatusConflict, err.Error())
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Lace-Attempt", q.Attempt)
	s := &tokenStream{
		engine:  e,
		job:     j,
		attempt: q.Attempt,
		next:    q.FirstChunk,
		mishap:  m,
		writer:  w,
		control: http.NewResponseController(w),
	}
	s.run(r.Context())
}

// tokenStream sends the tokens of one request to one client.
type tokenStream struct {
	engine  *Engine
	job     *job
	attempt string
	next    int
	mishap  mishap
	writer  http.ResponseWriter
	control *http.ResponseController
}

// progress is what a stream may send at some moment.
type progress struct {
	seed     uint64
	produced int
	total    int
	prompt   laceunit.Tokens
	state    jobState
}

// run sends tokens as they come until the request or the client ends.
func (s *tokenStream) run(ctx context.Context) {
	// The connection may serve other requests after this one.
	defer func() { _ = s.control.SetWriteDeadline(time.Time{}) }()
	if s.mishap.late > 0 && s.hold(ctx) != nil {
		return
	}
	for {
		changed := s.engine.changed.next()
		p := s.look()
		for s.next < p.produced {
			if s.token(ctx, p) != nil {
				return
			}
		}
		switch p.state {
		case jobDone:
			s.finish(p)
			return
		case jobCancelled:
			_ = s.send(chunk{
				Attempt:      s.attempt,
				Index:        s.next,
				Cancelled:    true,
				OutputTokens: laceunit.Tokens(p.produced),
				PromptTokens: p.prompt,
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

// hold waits until the answer is complete, and then for as long as the fault says.
func (s *tokenStream) hold(ctx context.Context) error {
	for {
		changed := s.engine.changed.next()
		if p := s.look(); p.state == jobDone || p.state == jobCancelled {
			return sleep(ctx, s.mishap.late)
		}
		if err := wait(ctx, changed); err != nil {
			return err
		}
	}
}

// look reads the state of the request, or of another one that is finished if the answers are crossed.
func (s *tokenStream) look() progress {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	j := s.job
	if s.mishap.crossed {
		if o := s.engine.batch.other(j.request); o != nil {
			s.attempt = o.attempt
			return progress{
				seed:     o.seed,
				produced: o.total,
				total:    o.total,
				prompt:   o.prompt,
				state:    jobDone,
			}
		}
		s.attempt = "crossed/" + s.job.attempt
		s.mishap.crossed = false
	}
	return progress{
		seed:     j.seed,
		produced: j.produced,
		total:    j.total,
		prompt:   j.prompt,
		state:    j.state,
	}
}

// token sends the next token, unless the faults say otherwise.
func (s *tokenStream) token(ctx context.Context, p progress) error {
	wrong := s.next == int(s.mishap.place*float64(p.total))
	if s.mishap.cut && wrong {
		panic(http.ErrAbortHandler)
	}
	if s.mishap.slow > 0 {
		if err := sleep(ctx, s.mishap.slow); err != nil {
			return err
		}
	}
	index := s.next
	s.next++
	if s.mishap.length && wrong {
		return nil
	}
	return s.send(chunk{
		Attempt: s.attempt,
		Index:   index,
		Text:    token(p.seed, index),
	})
}

// finish sends the end marker with the whole count, whatever the offset was.
func (s *tokenStream) finish(p progress) {
	_ = s.send(chunk{
		Attempt:      s.attempt,
		Index:        p.total,
		End:          true,
		OutputTokens: laceunit.Tokens(p.total),
		PromptTokens: p.prompt,
	})
}

func (s *tokenStream) send(c chunk) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_ = s.control.SetWriteDeadline(time.Now().Add(maxHang)) // Not supported by test recorders.
	if _, err := s.writer.Write([]byte("data: " + string(raw) + "\n\n")); err != nil {
		return err
	}
	return s.control.Flush()
}
