package lacecaller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

const (
	// maxAnswer bounds an answer; the longest one of the workloads is far below it.
	maxAnswer = 4 << 20
	// maxLine bounds one line of a stream.
	maxLine = 256 << 10
)

// attempt is one try of a call at one instance.
type attempt struct {
	caller *Caller
	call   Call
	// first is when the first byte of the answer arrived.
	first time.Time
	last  time.Time
}

// run returns the reply, or why there is none.
func (a *attempt) run(ctx context.Context, address laceunit.Address) (Reply, *Failure) {
	ctx, cancel := context.WithTimeout(ctx, a.caller.retry.AttemptTimeout)
	defer cancel()
	r, err := a.caller.request(ctx, address, a.call.Method, a.call.Path, a.call)
	if err != nil {
		return Reply{}, cut()
	}
	answer, err := a.caller.client.Do(r)
	if err != nil {
		return Reply{}, broken(err)
	}
	defer func() { _ = answer.Body.Close() }()
	if isFault(answer) {
		return Reply{}, readFault(answer)
	}
	if a.call.Chat && a.call.Stream {
		return a.stream(answer)
	}
	return a.whole(answer)
}

func (c *Caller) request(ctx context.Context, address laceunit.Address, method, path string, call Call) (*http.Request, error) {
	// net/http repeats a request with an Idempotency-Key by itself when it can read the body again or there is none.
	// A refusal of the repeat would then hide that the first try may have run, so the body can be read only once.
	body := struct{ io.Reader }{Reader: bytes.NewReader(call.Body)}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+string(address)+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "caller")
	}
	r.ContentLength = int64(len(call.Body))
	r.Header.Set("Authorization", "Bearer "+call.Key)
	r.Header.Set("Lace-Budget", string(call.Budget))
	if method == call.Method {
		r.Header.Set("Idempotency-Key", string(call.ID))
	}
	if len(call.Body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	return r, nil
}

func cut() *Failure {
	return &Failure{
		Outcome: lacefault.Unknown,
		Code:    CodeInterrupted,
	}
}

// broken tells a connection that was never made, after which nothing ran, from one that broke.
func broken(err error) *Failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Failure{
			Outcome: lacefault.NotRun,
			Code:    CodeUnreachable,
		}
	}
	return cut()
}

func isFault(answer *http.Response) bool {
	outcome := answer.Header.Get("Lace-Outcome")
	return outcome != "" && outcome != string(lacefault.Done) ||
		outcome == "" && answer.StatusCode >= http.StatusBadRequest
}

type wireFault struct {
	Error struct {
		Code     string `json:"code"`
		Outcome  string `json:"outcome"`
		Retry    int64  `json:"retry"`
		Instance string `json:"instance"`
	} `json:"error"`
}

func readFault(answer *http.Response) *Failure {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxLine))
	if err != nil {
		return cut()
	}
	f := decodeFault(body)
	if f.Instance == "" {
		f.Instance = laceunit.Address(answer.Header.Get("Lace-Instance"))
	}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && f.RetryAfter == 0 {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}

// decodeFault takes a fault without a valid outcome as one that may have run.
func decodeFault(body []byte) *Failure {
	var w wireFault
	if json.Unmarshal(body, &w) != nil || w.Error.Code == "" {
		return cut()
	}
	f := &Failure{
		Outcome:    lacefault.Unknown,
		Code:       lacefault.Code(w.Error.Code),
		RetryAfter: time.Duration(w.Error.Retry) * time.Millisecond,
		Instance:   laceunit.Address(w.Error.Instance),
	}
	if w.Error.Outcome == string(lacefault.NotRun) {
		f.Outcome = lacefault.NotRun
	}
	return f
}

type wireUsage struct {
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type wireCompletion struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Finish *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *wireUsage `json:"usage"`
}

func (a *attempt) whole(answer *http.Response) (Reply, *Failure) {
	a.first = time.Now()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return Reply{}, cut()
	}
	reply := Reply{
		Status:        answer.StatusCode,
		Text:          string(body),
		Complete:      true,
		BodyNotStored: answer.StatusCode == http.StatusNoContent,
	}
	if !a.call.Chat {
		return reply, nil
	}
	var w wireCompletion
	if json.Unmarshal(body, &w) != nil || len(w.Choices) != 1 {
		return Reply{}, cut()
	}
	reply.Text = w.Choices[0].Message.Content
	reply.finish(w)
	return reply, nil
}

func (r *Reply) finish(w wireCompletion) {
	r.Complete = w.Usage != nil && w.Choices[0].Finish != nil
	if w.Usage != nil {
		r.OutputTokens, r.TotalTokens = laceunit.Tokens(w.Usage.CompletionTokens), laceunit.Tokens(w.Usage.TotalTokens)
	}
}

// stream reads events up to the end marker; a stream without one is cut.
func (a *attempt) stream(answer *http.Response) (Reply, *Failure) {
	reply := Reply{
		Status: answer.StatusCode,
	}
	var text strings.Builder
	lines := bufio.NewScanner(answer.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLine)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			failed = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case failed:
			return Reply{}, decodeFault([]byte(data))
		case data == "[DONE]":
			reply.Text = text.String()
			return reply, nil
		}
		var w wireCompletion
		if json.Unmarshal([]byte(data), &w) != nil || len(w.Choices) != 1 || text.Len() > maxAnswer {
			return Reply{}, cut()
		}
		if w.Choices[0].Finish != nil {
			reply.finish(w)
			continue
		}
		a.note()
		text.WriteString(w.Choices[0].Delta.Content)
	}
	return Reply{}, cut()
}

// note takes the time of a chunk.
func (a *attempt) note() {
	now := time.Now()
	if a.first.IsZero() {
		a.first = now
	} else {
		a.caller.observer.ChunkInterval(now.Sub(a.last))
	}
	a.last = now
}
