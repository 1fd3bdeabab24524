package lacegateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceunit"
)

// writeTimeout bounds a write to a caller that does not read its stream.
const writeTimeout = 30 * time.Second

// sink writes one response to the caller.
type sink interface {
	// writeChunk sends a part of a streamed response; an error means that the connection to the caller has failed.
	writeChunk(text string) error
	finish(prompt, output laceunit.Tokens)
	reply(response laceledger.Response, header http.Header, missing bool)
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

// chatSink writes a chat completion as a stream or as a single response.
type chatSink struct {
	w       http.ResponseWriter
	id      laceunit.RequestID
	model   laceunit.ModelID
	stream  bool
	started bool
	// text collects a response that is not streamed, noMemory is true when there was no memory for it.
	text     lacelistener.Buffer
	noMemory bool
}

func newChatSink(
	w http.ResponseWriter, chat chatRequest, id laceunit.RequestID, holding *lacelistener.Holding,
) *chatSink {
	return &chatSink{
		w:      w,
		id:     id,
		model:  chat.Model,
		stream: chat.Stream,
		text:   lacelistener.NewBuffer(holding, lacelistener.Answer),
	}
}

func (s *chatSink) writeChunk(text string) error {
	if !s.stream {
		err := s.text.AppendString(text)
		s.noMemory = s.noMemory || err != nil
		return err
	}
	delta := &wireDelta{Content: text}
	if !s.started {
		delta.Role = "assistant"
	}
	return s.writeEvent(wireChoice{Delta: delta}, nil)
}

func (s *chatSink) finish(prompt, output laceunit.Tokens) {
	usage := &wireUsage{
		Prompt:     int64(prompt),
		Completion: int64(output),
		Total:      int64(prompt + output),
	}
	stop := "stop"
	if s.stream {
		// Write errors are ignored: a caller that does not receive the end marker retries with the same id.
		_ = s.writeEvent(wireChoice{
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
	h.Set(headerRequestID, string(s.id))
	_ = json.NewEncoder(s.w).Encode(s.completion("chat.completion", wireChoice{
		Message: &wireDelta{
			Role:    "assistant",
			Content: string(s.text.Bytes()),
		},
		Finish: &stop,
	}, usage))
}

func (s *chatSink) reply(laceledger.Response, http.Header, bool) {}

// refuse sends the fault as the response, or as the last event of a stream that has started. Such a stream has no end
// marker, so the caller can detect that it is truncated.
func (s *chatSink) refuse(fault *lacefault.Fault) {
	if s.noMemory {
		fault = &lacefault.Fault{
			Outcome: lacefault.Unknown,
			Code:    lacefault.BackendServerFailed,
			Message: "no memory for the response",
		}
	}
	if !s.started {
		s.w.Header().Set(headerRequestID, string(s.id))
		writeFault(s.w, fault)
		return
	}
	_, _ = fmt.Fprintf(s.w, "event: error\ndata: %s\n\n", faultBody(fault))
	s.flush()
}

func (s *chatSink) writeEvent(choice wireChoice, usage *wireUsage) error {
	if !s.started {
		s.started = true
		h := s.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		h.Set(headerRequestID, string(s.id))
	}
	// A caller that reads nothing for this time counts as disconnected, so that its reservation is released.
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	// Encoding a struct of strings and numbers can't fail.
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

// serviceSink writes the response of a plain service.
type serviceSink struct {
	w  http.ResponseWriter
	id laceunit.RequestID
}

func (s *serviceSink) writeChunk(string) error { return nil }

func (s *serviceSink) finish(_, _ laceunit.Tokens) {}

func (s *serviceSink) reply(response laceledger.Response, header http.Header, missing bool) {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set(headerOutcome, string(lacefault.Done))
	h.Set(headerRequestID, string(s.id))
	if missing {
		// The call ran and was billed once, but its response was lost or too large to be stored.
		s.w.WriteHeader(http.StatusNoContent)
		return
	}
	if response.ContentType != "" {
		h.Set("Content-Type", response.ContentType)
	}
	if len(response.Body) > 0 {
		// Without a Content-Length an HTTP/1.0 client can't distinguish a truncated response from a complete one.
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	s.w.WriteHeader(response.Status)
	_, _ = s.w.Write(response.Body)
}

func (s *serviceSink) refuse(fault *lacefault.Fault) {
	s.w.Header().Set(headerRequestID, string(s.id))
	writeFault(s.w, fault)
}
