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

// Request is one request with its expected response.
type Request struct {
	Sequence int
	// Arrival is the arrival time, counted from the start of the run.
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
	// Model, Prompt and MaxTokens are what an engine receives for a chat.
	Model     laceunit.ModelID
	Prompt    string
	MaxTokens laceunit.Tokens
	// Target is the path of a call as a plain service receives it.
	Target string
	// Ceiling is the number of tokens that an instance reserves for the request.
	Ceiling laceunit.Tokens
	// ExpectedText is the text of a chat completion, or the response body of a service.
	ExpectedText string
	// ExpectedOutput is the number of output tokens of a chat, or the price of a call.
	ExpectedOutput laceunit.Tokens
	// ExpectedTotal is the usage of a chat including its prompt, as the engine counts it.
	ExpectedTotal laceunit.Tokens
}

// ScopedBudget returns the ledger's id of the budget, which includes the client account.
func (r *Request) ScopedBudget() laceunit.BudgetID {
	return laceledger.JoinBudgetID(r.Account, r.Budget)
}

// Generator generates the requests of a run; the same seed gives the same requests.
type Generator struct {
	workload  Workload
	idPrefix  string
	classes   []ClassID
	totalRate float64
	arrivals  *rand.Rand
	seed      uint64
	elapsed   time.Duration
	sequence  int
}

// NewGenerator returns a generator; the id prefix makes the request ids of a run differ from those of earlier runs.
func NewGenerator(w Workload, seed uint64, idPrefix string) *Generator {
	g := &Generator{
		workload: w,
		idPrefix: idPrefix,
		arrivals: rand.New(rand.NewPCG(seed, 0)),
		seed:     seed,
	}
	for id, c := range w.Classes {
		g.classes = append(g.classes, id)
		g.totalRate += c.Rate
	}
	slices.Sort(g.classes)
	return g
}

// Next returns the next request, or false after the last one.
func (g *Generator) Next() (Request, bool) {
	if g.totalRate <= 0 || g.sequence >= g.workload.Limits.MaxRequests {
		return Request{}, false
	}
	g.elapsed += time.Duration(g.arrivals.ExpFloat64() / g.totalRate * float64(time.Second))
	if g.elapsed > g.workload.Duration {
		return Request{}, false
	}
	g.sequence++
	// Each request has its own random generator, so that a change of one class doesn't change the requests of others.
	random := rand.New(rand.NewPCG(g.seed, uint64(g.sequence)))
	id := g.drawClass(random)
	class := g.workload.Classes[id]
	account := class.drawAccount(random)
	a := g.workload.Accounts[account]
	r := Request{
		Sequence:   g.sequence,
		Arrival:    g.elapsed,
		Class:      id,
		Kind:       class.Kind,
		Account:    account,
		Key:        a.Key,
		Budget:     a.Budgets[random.IntN(len(a.Budgets))].Name,
		ID:         laceunit.RequestID(g.idPrefix + "-" + strconv.Itoa(g.sequence)),
		Idempotent: true,
	}
	if class.Kind == KindChat {
		class.fillChat(&r, random, string(id))
	} else {
		class.fillCall(&r, random)
	}
	return r, true
}

func (g *Generator) drawClass(r *rand.Rand) ClassID {
	point := r.Float64() * g.totalRate
	for _, id := range g.classes {
		point -= g.workload.Classes[id].Rate
		if point < 0 {
			return id
		}
	}
	return g.classes[len(g.classes)-1]
}

func (c *Class) drawAccount(r *rand.Rand) laceunit.AccountID {
	totalWeight := 0.0
	for _, w := range c.Accounts {
		totalWeight += w.Weight
	}
	point := r.Float64() * totalWeight
	for _, w := range c.Accounts {
		point -= w.Weight
		if point < 0 {
			return w.Account
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

func (c *Class) fillChat(r *Request, random *rand.Rand, name string) {
	var messages []wireMessage
	if c.Prefixes.Count > 0 {
		n := uint64(random.IntN(c.Prefixes.Count))
		// The prefix depends only on the name and the number, so that it is the same in every run, like the system prompt
		// of a caller.
		prefixRandom := rand.New(rand.NewPCG(n, uint64(len(name))))
		messages = append(messages, wireMessage{
			Role:    "system",
			Content: name + " " + randomWords(prefixRandom, c.Prefixes.Tokens),
		})
	}
	messages = append(messages, wireMessage{
		Role:    "user",
		Content: strconv.Itoa(r.Sequence) + " " + randomWords(random, c.Prompt.draw(random)),
	})
	maxOutput := laceunit.Tokens(c.Output.draw(random))
	r.Stream = random.Float64() < c.StreamedShare
	r.Method, r.Path = http.MethodPost, "/v1/chat/completions"
	// Encoding a struct of strings, numbers and booleans can't fail.
	r.Body, _ = json.Marshal(wireChat{
		Model:     string(c.Model),
		Messages:  messages,
		MaxTokens: int64(maxOutput),
		Stream:    r.Stream,
	})
	lines := make([]string, 0, len(messages))
	for _, m := range messages {
		lines = append(lines, m.Role+": "+m.Content)
	}
	prompt := strings.Join(lines, "\n")
	r.Model, r.Prompt, r.MaxTokens = c.Model, prompt, maxOutput
	r.Ceiling = lacebackend.CountTokens(prompt) + maxOutput
	r.ExpectedText = laceemulator.Completion(c.Model, prompt, maxOutput)
	r.ExpectedOutput = laceemulator.CompletionTokens(c.Model, prompt, maxOutput)
	r.ExpectedTotal = laceemulator.PromptTokens(prompt) + r.ExpectedOutput
}

func (c *Class) fillCall(r *Request, random *rand.Rand) {
	path := strings.ReplaceAll(c.Path, "{n}", strconv.Itoa(random.IntN(10000)))
	r.Method, r.Path = c.Method, "/v1/services/"+string(c.Service)+path
	if c.Body.Max > 0 {
		r.Body = fmt.Appendf(nil, `{"number":%d,"text":%q}`, r.Sequence, randomWords(random, c.Body.draw(random)))
	}
	r.Target = path
	r.Idempotent = c.Idempotent
	r.Ceiling, r.ExpectedOutput = c.Price, c.Price
	r.ExpectedText = string(laceemulator.ServiceResponse(c.Method, path, r.Body, 0))
}

// randomWords returns count random words of the vocabulary.
func randomWords(r *rand.Rand, count int) string {
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

// vocabulary has words of one to eleven letters, so that prompts have about the length of real ones.
const vocabulary = `a the of and in to is it for on with as at by from that this which was were not all when where who
what how many case order stock shelf milk bread flour apples pears cheese court claim date note paper witness hearing
judge clerk store truck pallet crate supplier delivery invoice quantity weight price week morning evening district
section article statement summary question answer member customer contract property family appeal registry copy
certificate translation document reference department temperature replacement agreement procedure`
