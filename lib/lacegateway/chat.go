package lacegateway

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// maxRequestID is the maximum length of request ids, which the ledger stores for the whole retention window.
const maxRequestID = 128

// defaultMaxBody is the size limit of request bodies in bytes if the configuration sets none.
const defaultMaxBody = 4 << 20

// decodedCopies is how often a body is held beside itself: decoded, and encoded for a server.
const decodedCopies = 2

// memoryRetryAfter is the Retry-After when clients hold all memory, which large requests return within seconds.
const memoryRetryAfter = time.Second

// bodyTimeout bounds the time that a caller may take to send the request body.
const bodyTimeout = 30 * time.Second

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type wirePart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

type wireChat struct {
	Model               string        `json:"model"`
	Messages            []wireMessage `json:"messages"`
	MaxTokens           *int64        `json:"max_tokens"`
	MaxCompletionTokens *int64        `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

// chatRequest is a decoded chat completion request.
type chatRequest struct {
	Model     laceunit.ModelID
	Prompt    string
	MaxTokens laceunit.Tokens
	Stream    bool
}

// decodeChat decodes and validates the body of a chat completion request.
func decodeChat(body []byte) (chatRequest, error) {
	var w wireChat
	if err := json.Unmarshal(body, &w); err != nil {
		return chatRequest{}, errors.Errorf("body: not valid JSON of a chat completion request: %v", err)
	}
	if w.Model == "" {
		return chatRequest{}, errors.New("model: missing")
	}
	if len(w.Messages) == 0 {
		return chatRequest{}, errors.New("messages: at least one is needed")
	}
	if w.N != nil && *w.N != 1 {
		return chatRequest{}, errors.New("n: only 1 is supported")
	}
	c := chatRequest{
		Model:  laceunit.ModelID(w.Model),
		Stream: w.Stream,
	}
	limit := w.MaxCompletionTokens
	if limit == nil {
		limit = w.MaxTokens
	}
	if limit != nil {
		if *limit < 1 {
			return chatRequest{}, errors.New("max_tokens: must be at least 1")
		}
		c.MaxTokens = laceunit.Tokens(*limit)
	}
	var lines []string
	for i, m := range w.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return chatRequest{}, errors.Errorf("messages[%d].content: %v", i, err)
		}
		if m.Role == "" {
			return chatRequest{}, errors.Errorf("messages[%d].role: missing", i)
		}
		lines = append(lines, m.Role+": "+text)
	}
	c.Prompt = strings.Join(lines, "\n")
	return c, nil
}

// contentText returns the text of a message: a string, or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []wirePart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", errors.Errorf("part type %q is not supported, only text is", p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// chat serves POST /v1/chat/completions.
func (g *Gateway) chat(w http.ResponseWriter, r *http.Request) {
	c, document, fault := g.authenticate(r)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	body, fault := readBody(w, r, document)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	chat, err := decodeChat(body)
	if err != nil {
		g.refuse(w, refusal(lacefault.BadRequest, err.Error()))
		return
	}
	model, ok := document.Models[chat.Model]
	if !ok {
		g.refuse(w, refusal(lacefault.NotFound, "no such model"))
		return
	}
	prompt := lacebackend.CountTokens(chat.Prompt)
	if chat.MaxTokens == 0 || chat.MaxTokens > model.MaxOutput {
		chat.MaxTokens = model.MaxOutput
	}
	if prompt+chat.MaxTokens > model.ContextWindow {
		g.refuse(w, refusal(lacefault.BadRequest, "prompt and max_tokens exceed the model's context"))
		return
	}
	id, fault := requestID(r, true)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	t := task{
		caller: c,
		id:     id,
		pickRequest: PickRequest{
			Account:  c.id,
			Model:    chat.Model,
			Prefix:   lacebackend.PrefixOf(chat.Model, chat.Prompt),
			Priority: model.Priority,
			Cost:     prompt + chat.MaxTokens,
		},
		spec: lacerequest.Spec{
			Digest:     digest(r, body),
			Idempotent: true,
			Ceiling:    prompt + chat.MaxTokens,
			Prompt:     prompt,
			CanResume:  true,
		},
		call: lacebackend.GenerateRequest{
			Model:     chat.Model,
			Prompt:    chat.Prompt,
			MaxTokens: chat.MaxTokens,
			Priority:  model.Priority,
		},
		timeout: engineTimeout,
	}
	t.sink = newChatSink(w, chat, id, lacelistener.FromContext(r.Context()))
	g.run(w, r, t)
}

// readBody reads the request body up to the size limit.
func readBody(w http.ResponseWriter, r *http.Request, document *laceconfig.Document) ([]byte, *lacefault.Fault) {
	limit := document.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	// The deadline is removed after the body, because it would also stop the detection of callers that disconnect.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	holding := lacelistener.FromContext(r.Context())
	body, err := holding.ReadAll(r.Body, r.ContentLength, limit, lacelistener.Body)
	if err == nil {
		err = holding.Charge(decodedCopies*int64(len(body)), lacelistener.Body)
	}
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case errors.Is(err, lacelistener.ErrShort):
		w.Header().Set("Connection", "close")
		f := refusal(lacefault.Overloaded, "clients hold all memory")
		f.RetryAfter = memoryRetryAfter
		return nil, f
	case lacelistener.IsTooLong(err):
		w.Header().Set("Connection", "close")
		return nil, refusal(lacefault.TooLarge, "the body exceeds "+laceunit.Tokens(limit).String()+" bytes")
	case err != nil:
		return nil, refusal(lacefault.BadRequest, "the body could not be read")
	}
	holding.Run()
	return body, nil
}

// requestID returns the caller's request id, or a new one for an idempotent request without an id.
func requestID(r *http.Request, idempotent bool) (laceunit.RequestID, *lacefault.Fault) {
	id := r.Header.Get(headerIdempotencyKey)
	switch {
	case id == "" && idempotent:
		return laceunit.RequestID(ulid.Make().String()), nil
	case id == "":
		return "", refusal(lacefault.IDMissing, "a call that is not idempotent needs an Idempotency-Key")
	case len(id) > maxRequestID || strings.ContainsAny(id, "/ \t"):
		return "", refusal(lacefault.BadRequest, "Idempotency-Key: at most 128 bytes, without slash and white space")
	}
	return laceunit.RequestID(id), nil
}

// digest returns a hash of the request, which detects an id that is reused for another request.
func digest(r *http.Request, body []byte) laceunit.Digest {
	h := sha256.New()
	for _, s := range []string{r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Get(headerBudget)} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	// 128 bits suffice to distinguish the requests of one id and halve the storage in the ledger.
	return laceunit.Digest(hex.EncodeToString(h.Sum(nil)[:16]))
}

func (t *task) ledgerRequest() laceledger.Request {
	return laceledger.Request{
		Account: t.caller.id,
		ID:      t.id,
	}
}
