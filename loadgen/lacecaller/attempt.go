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
	// maxResponseBytes bounds a response body; the largest response of the workloads is far smaller.
	maxResponseBytes = 4 << 20
	// maxLineBytes bounds one line of a stream, and the body of a fault.
	maxLineBytes = 256 << 10
)

// attempt is one attempt of a call at one instance.
type attempt struct {
	caller *Caller
	call   Call
	// firstByteAt is when the response began to arrive.
	firstByteAt time.Time
	// lastChunkAt is when the latest chunk of a stream arrived.
	lastChunkAt time.Time
}

// run sends the call to the instance and returns its reply, or the failure.
func (a *attempt) run(ctx context.Context, address laceunit.Address) (Reply, *Failure) {
	ctx, cancel := context.WithTimeout(ctx, a.caller.retry.AttemptTimeout)
	defer cancel()
	r, err := a.caller.newRequest(ctx, address, a.call.Method, a.call.Path, a.call)
	if err != nil {
		return Reply{}, interrupted()
	}
	response, err := a.caller.client.Do(r)
	if err != nil {
		return Reply{}, connectionFailure(err)
	}
	defer func() { _ = response.Body.Close() }()
	if isFault(response) {
		return Reply{}, readFault(response)
	}
	if a.call.Chat && a.call.Stream {
		return a.readStream(response)
	}
	return a.readResponse(response)
}

func (c *Caller) newRequest(
	ctx context.Context, address laceunit.Address, method, path string, call Call,
) (*http.Request, error) {
	// net/http itself retries a request that has an Idempotency-Key if its body is empty or can be rewound. If that
	// retry were refused, the fact that the first attempt may have run would be lost, so the body can be read only once.
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

func interrupted() *Failure {
	return &Failure{
		Outcome: lacefault.Unknown,
		Code:    CodeInterrupted,
	}
}

// connectionFailure distinguishes a failed dial, after which nothing ran, from a connection that broke later.
func connectionFailure(err error) *Failure {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Failure{
			Outcome: lacefault.NotRun,
			Code:    CodeUnreachable,
		}
	}
	return interrupted()
}

func isFault(response *http.Response) bool {
	outcome := response.Header.Get("Lace-Outcome")
	return outcome != "" && outcome != string(lacefault.Done) ||
		outcome == "" && response.StatusCode >= http.StatusBadRequest
}

type wireFault struct {
	Error struct {
		Code     string `json:"code"`
		Outcome  string `json:"outcome"`
		Retry    int64  `json:"retry"`
		Instance string `json:"instance"`
	} `json:"error"`
}

func readFault(response *http.Response) *Failure {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLineBytes))
	if err != nil {
		return interrupted()
	}
	f := decodeFault(body)
	if f.Instance == "" {
		f.Instance = laceunit.Address(response.Header.Get("Lace-Instance"))
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && f.RetryAfter == 0 {
		f.RetryAfter = time.Duration(seconds) * time.Second
	}
	return f
}

// decodeFault treats a fault without a valid outcome as one whose request may have run.
func decodeFault(body []byte) *Failure {
	var w wireFault
	if json.Unmarshal(body, &w) != nil || w.Error.Code == "" {
		return interrupted()
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
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *wireUsage `json:"usage"`
}

func (a *attempt) readResponse(response *http.Response) (Reply, *Failure) {
	a.firstByteAt = time.Now()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Reply{}, interrupted()
	}
	reply := Reply{
		Status:        response.StatusCode,
		Text:          string(body),
		Complete:      true,
		BodyNotStored: response.StatusCode == http.StatusNoContent,
	}
	if !a.call.Chat {
		return reply, nil
	}
	var w wireCompletion
	if json.Unmarshal(body, &w) != nil || len(w.Choices) != 1 {
		return Reply{}, interrupted()
	}
	reply.Text = w.Choices[0].Message.Content
	reply.setFinish(w)
	return reply, nil
}

func (r *Reply) setFinish(w wireCompletion) {
	r.Complete = w.Usage != nil && w.Choices[0].FinishReason != nil
	if w.Usage != nil {
		r.OutputTokens, r.TotalTokens = laceunit.Tokens(w.Usage.CompletionTokens), laceunit.Tokens(w.Usage.TotalTokens)
	}
}

// readStream reads events up to the end marker; a stream without one counts as interrupted.
func (a *attempt) readStream(response *http.Response) (Reply, *Failure) {
	reply := Reply{
		Status: response.StatusCode,
	}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	errorEvent := false
	for lines.Scan() {
		line := lines.Text()
		if line == "event: error" {
			errorEvent = true
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case !ok:
			continue
		case errorEvent:
			return Reply{}, decodeFault([]byte(data))
		case data == "[DONE]":
			reply.Text = text.String()
			return reply, nil
		}
		var w wireCompletion
		if json.Unmarshal([]byte(data), &w) != nil || len(w.Choices) != 1 || text.Len() > maxResponseBytes {
			return Reply{}, interrupted()
		}
		if w.Choices[0].FinishReason != nil {
			reply.setFinish(w)
			continue
		}
		a.recordChunk()
		text.WriteString(w.Choices[0].Delta.Content)
	}
	return Reply{}, interrupted()
}

// recordChunk records the arrival time of a chunk and reports the interval since the chunk before.
func (a *attempt) recordChunk() {
	now := time.Now()
	if a.firstByteAt.IsZero() {
		a.firstByteAt = now
	} else {
		a.caller.observer.ChunkInterval(now.Sub(a.lastChunkAt))
	}
	a.lastChunkAt = now
}
