package lacegateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// writeTimeout bounds the wait for a caller that does not read its stream.
const writeTimeout = 30 * time.Second

// sink writes one answer to the caller.
type sink interface {
	// chunk sends a part of the answer; an error means that the caller can't be reached any more.
	chunk(text string) error
	finish(prompt, output laceunit.Tokens)
	reply(answer laceledger.Response, header http.Header, missing bool)
	refuse(fault *lacefault.Fault)
}

type wireUsage struct {
	Prompt     int64 `json:"prompt_tokens"`
	Completion int64 `json:"completion_tokens"`
	Total      int64 `json:"total_tokens"`
}

type wireDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type wireChoice struct {
	Index   int        `json:"index"`
	Delta   *wireDelta `json:"delta,omitempty"`
	Message *wireDelta `json:"message,omitempty"`
	Finish  *string    `json:"finish_reason"`
}

type wireCompletion struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

// chatSink writes a chat completion, streamed or whole.
type chatSink struct {
	w      http.ResponseWriter
	id     laceunit.RequestID
	model  laceunit.ModelID
	stream bool
	begun  bool
	text   strings.Builder
}

func newChatSink(w http.ResponseWriter, chat chatRequest, id laceunit.RequestID) *chatSink {
	return &chatSink{
		w:      w,
		id:     id,
		model:  chat.Model,
		stream: chat.Stream,
	}
}

func (s *chatSink) chunk(text string) error {
	if !s.stream {
		s.text.WriteString(text)
		return nil
	}
	delta := &wireDelta{Content: text}
	if !s.begun {
		delta.Role = "assistant"
	}
	return s.event(wireChoice{Delta: delta}, nil)
}

func (s *chatSink) finish(prompt, output laceunit.Tokens) {
	usage := &wireUsage{
		Prompt:     int64(prompt),
		Completion: int64(output),
		Total:      int64(prompt + output),
	}
	stop := "stop"
	if s.stream {
		// Whether the end arrives is the caller's to see: without it the caller asks again with the same id.
		_ = s.event(wireChoice{
			Delta:  &wireDelta{},
			Finish: &stop,
		}, usage)
		_, _ = fmt.Fprint(s.w, "data: [DONE]\n\n")
		s.flush()
		return
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerOutcome, string(lacefault.Done))
	h.Set(headerID, string(s.id))
	_ = json.NewEncoder(s.w).Encode(s.completion("chat.completion", wireChoice{
		Message: &wireDelta{
			Role:    "assistant",
			Content: s.text.String(),
		},
		Finish: &stop,
	}, usage))
}

func (s *chatSink) reply(laceledger.Response, http.Header, bool) {}

// refuse sends the fault as the answer, or as the last event of a stream that has begun. Such a stream has no end
// marker, so the caller knows that it is cut.
func (s *chatSink) refuse(fault *lacefault.Fault) {
	if !s.begun {
		s.w.Header().Set(headerID, string(s.id))
		writeFault(s.w, fault)
		return
	}
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", faultBody(fault))
	s.flush()
}

func (s *chatSink) event(choice wireChoice, usage *wireUsage) error {
	if !s.begun {
		s.begun = true
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(headerID, string(s.id))
	}
	// A caller that reads nothing for that long has left; its reservation must not stay.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	// A struct of strings and numbers always encodes.
	b, _ := json.Marshal(s.completion("chat.completion.chunk", choice, usage))
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", b); err != nil {
		return errors.Wrap(err, "caller")
	}
	s.flush()
	return nil
}

func (s *chatSink) completion(object string, choice wireChoice, usage *wireUsage) wireCompletion {
	return wireCompletion{
		ID:      string(s.id),
		Object:  object,
		Model:   string(s.model),
		Choices: []wireChoice{choice},
		Usage:   usage,
	}
}

func (s *chatSink) flush() {
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

// serviceSink writes the answer of a plain service.
type serviceSink struct {
	w  http.ResponseWriter
	id laceunit.RequestID
}

func (s *serviceSink) chunk(string) error { return nil }

func (s *serviceSink) finish(_, _ laceunit.Tokens) {}

func (s *serviceSink) reply(answer laceledger.Response, header http.Header, missing bool) {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(headerOutcome, string(lacefault.Done))
	h.Set(headerID, string(s.id))
	if missing {
		// The call ran and was billed once; its answer was too large to be kept.
		s.w.WriteHeader(http.StatusNoContent)
		return
	}
	if answer.ContentType != "" {
		h.Set("Content-Type", answer.ContentType)
	}
	if len(answer.Body) > 0 {
		// Callers of HTTP/1.0 can't tell a cut answer without a length from a whole one.
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	s.w.WriteHeader(answer.Status)
	_, _ = s.w.Write(answer.Body)
}

func (s *serviceSink) refuse(fault *lacefault.Fault) {
	s.w.Header().Set(headerID, string(s.id))
	writeFault(s.w, fault)
}
