package laceworkload

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Request is one request with the answer that it must get.
type Request struct {
	Sequence int
	// At is when it arrives, from the start of the run.
	Arrival    time.Duration
	Class      ClassID
	Kind       Kind
	Account    laceunit.AccountID
	Key        string
	Budget     laceunit.BudgetID
	ID         laceunit.RequestID
	Method     string
	Path       string
	Body       []byte
	Stream     bool
	Idempotent bool
	// Model, Prompt and Most are what an engine gets for a chat.
	Model     laceunit.ModelID
	Prompt    string
	MaxTokens laceunit.Tokens
	// Target is what a plain service gets as the path of a call.
	Target string
	// Ceiling is what an instance reserves for it.
	Ceiling laceunit.Tokens
	// Text is the text of a chat's answer, or the body of a service's answer.
	ExpectedText string
	// Output is the number of output tokens of a chat, or the price of a call.
	ExpectedOutput laceunit.Tokens
	// Total is the usage of a chat with its prompt as the engine counts it.
	ExpectedTotal laceunit.Tokens
}

// Scoped returns the budget as the ledger names it.
func (r *Request) ScopedBudget() laceunit.BudgetID {
	return laceledger.JoinBudgetID(r.Account, r.Budget)
}

// Source draws the requests of a run; equal seeds give equal requests.
type Generator struct {
	workload Workload
	tag      string
	classes  []ClassID
	total    float64
	arrivals *rand.Rand
	seed     uint64
	at       time.Duration
	sequence int
}

// NewSource returns a source; the tag makes the request ids of a run differ from those of earlier runs.
func NewGenerator(w Workload, seed uint64, tag string) *Generator {
	s := &Generator{
		workload: w,
		tag:      tag,
		arrivals: rand.New(rand.NewPCG(seed, 0)),
		seed:     seed,
	}
	for id, c := range w.Classes {
		s.classes = append(s.classes, id)
		s.total += c.Rate
	}
	slices.Sort(s.classes)
	return s
}

// Next returns the next request, or false after the last one.
func (s *Generator) Next() (Request, bool) {
	if s.total <= 0 || s.sequence >= s.workload.Limits.MaxRequests {
		return Request{}, false
	}
	s.at += time.Duration(s.arrivals.ExpFloat64() / s.total * float64(time.Second))
	if s.at > s.workload.Duration {
		return Request{}, false
	}
	s.sequence++
	// Each request has its own generator, so that a change of one class leaves the others' requests as they are.
	random := rand.New(rand.NewPCG(s.seed, uint64(s.sequence)))
	id := s.class(random)
	class := s.workload.Classes[id]
	account := class.account(random)
	a := s.workload.Accounts[account]
	r := Request{
		Sequence:   s.sequence,
		Arrival:    s.at,
		Class:      id,
		Kind:       class.Kind,
		Account:    account,
		Key:        a.Key,
		Budget:     a.Budgets[random.IntN(len(a.Budgets))].Name,
		ID:         laceunit.RequestID(s.tag + "-" + strconv.Itoa(s.sequence)),
		Idempotent: true,
	}
	if class.Kind == KindChat {
		class.chat(&r, random, string(id))
	} else {
		class.call(&r, random)
	}
	return r, true
}

func (s *Generator) class(r *rand.Rand) ClassID {
	at := r.Float64() * s.total
	for _, id := range s.classes {
		at -= s.workload.Classes[id].Rate
		if at < 0 {
			return id
		}
	}
	return s.classes[len(s.classes)-1]
}

func (c *Class) account(r *rand.Rand) laceunit.AccountID {
	total := 0.0
	for _, s := range c.Accounts {
		total += s.Weight
	}
	at := r.Float64() * total
	for _, s := range c.Accounts {
		at -= s.Weight
		if at < 0 {
			return s.Account
		}
	}
	return c.Accounts[len(c.Accounts)-1].Account
}

type wireMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type wireChat struct {
	Model     string        `json:"model"`
	Messages  []wireMessage `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

func (c *Class) chat(r *Request, random *rand.Rand, name string) {
	var messages []wireMessage
	if c.Prefixes.Count > 0 {
		n := uint64(random.IntN(c.Prefixes.Count))
		// The same name and number give the same prefix in every run, as a caller's own instructions would be.
		shared := rand.New(rand.NewPCG(n, uint64(len(name))))
		messages = append(messages, wireMessage{
			Role:    "system",
			Content: name + " " + text(shared, c.Prefixes.Tokens),
		})
	}
	messages = append(messages, wireMessage{
		Role:    "user",
		Content: strconv.Itoa(r.Sequence) + " " + text(random, c.Prompt.draw(random)),
	})
	most := laceunit.Tokens(c.Output.draw(random))
	r.Stream = random.Float64() < c.StreamedShare
	r.Method, r.Path = http.MethodPost, "/v1/chat/completions"
	// A struct of strings and numbers always encodes.
	r.Body, _ = json.Marshal(wireChat{
		Model:     string(c.Model),
		Messages:  messages,
		MaxTokens: int64(most),
		Stream:    r.Stream,
	})
	lines := make([]string, 0, len(messages))
	for _, m := range messages {
		lines = append(lines, m.Role+": "+m.Content)
	}
	prompt := strings.Join(lines, "\n")
	r.Model, r.Prompt, r.MaxTokens = c.Model, prompt, most
	r.Ceiling = lacebackend.CountTokens(prompt) + most
	r.ExpectedText = laceemulator.Completion(c.Model, prompt, most)
	r.ExpectedOutput = laceemulator.CompletionTokens(c.Model, prompt, most)
	r.ExpectedTotal = laceemulator.PromptTokens(prompt) + r.ExpectedOutput
}

func (c *Class) call(r *Request, random *rand.Rand) {
	path := strings.ReplaceAll(c.Path, "{n}", strconv.Itoa(random.IntN(10000)))
	r.Method, r.Path = c.Method, "/v1/services/"+string(c.Service)+path
	if c.Body.Max > 0 {
		r.Body = fmt.Appendf(nil, `{"number":%d,"text":%q}`, r.Sequence, text(random, c.Body.draw(random)))
	}
	r.Target = path
	r.Idempotent = c.Idempotent
	r.Ceiling, r.ExpectedOutput = c.Price, c.Price
	r.ExpectedText = string(laceemulator.ServiceResponse(c.Method, path, r.Body, 0))
}

// text returns so many words.
func text(r *rand.Rand, count int) string {
	words := strings.Fields(vocabulary)
	var b strings.Builder
	for i := range count {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(words[r.IntN(len(words))])
	}
	return b.String()
}

// vocabulary are words of one to eleven letters, so that prompts have about the length of real ones.
const vocabulary = `a the of and in to is it for on with as at by from that this which was were not all when where who
what how many case order stock shelf milk bread flour apples pears cheese court claim date note paper witness hearing
judge clerk store truck pallet crate supplier delivery invoice quantity weight price week morning evening district
section article statement summary question answer member customer contract property family appeal registry copy
certificate translation document reference department temperature replacement agreement procedure`
