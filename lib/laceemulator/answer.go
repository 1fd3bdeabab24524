package laceemulator

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

const (
	// bytesPerToken is the emulated engines' mean length of a prompt token.
	bytesPerToken = 4
	// blockTokens is how many prompt tokens one block of the prefix cache holds.
	blockTokens = 64
	// shortest and spread set the natural length of answers.
	shortest = 8
	spread   = 120
)

// words are the vocabulary of emulated answers: 32 words of wordLength letters. Two answers agree in one place by
// chance in 1 of 32 cases, so those of different prompts can't be taken for each other.
const words = "amberbasincedardeltaemberfjordgrovehaven" +
	"inletjettyochrelarchmarshnorthplainridge" +
	"shoaltidalupperwharfxeniayieldzonalbirch" +
	"cliffflintgladedunesquaysvalescreekbight"

const wordLength = 5

// Answer returns the whole text that an emulated engine answers to a prompt with at most so many output tokens.
//
// It is a function of its arguments alone: the natural length of the answer is 8 to 127 tokens and, like each token,
// depends on the hash of the model and the prompt. The output limit cuts the text, so an answer with a lower limit is
// a prefix of one with a higher limit. A token is a word with a space in front of it, and a stream carries one token
// in each chunk.
func Completion(model laceunit.ModelID, prompt string, most laceunit.Tokens) string {
	seed := answerSeed(model, prompt)
	var b strings.Builder
	for i := range int(answerLength(seed, most)) {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// AnswerTokens returns how many output tokens Answer has.
func CompletionTokens(model laceunit.ModelID, prompt string, most laceunit.Tokens) laceunit.Tokens {
	return answerLength(answerSeed(model, prompt), most)
}

// PromptTokens returns what an emulated engine counts for a prompt: one token for each 4 bytes begun, at least one.
func PromptTokens(prompt string) laceunit.Tokens {
	return max(1, laceunit.Tokens(len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// PrefixBlocks returns the names that the prefix cache and its events give to the whole blocks of a prompt. A block
// is 256 bytes long, and its name is the hash of the model and the prompt up to its end.
func PrefixBlocks(model laceunit.ModelID, prompt string) []string {
	const size = blockTokens * bytesPerToken
	var names []string
	h := xxhash.New()
	_, _ = h.WriteString(string(model) + "\n")
	for len(prompt) >= size {
		_, _ = h.WriteString(prompt[:size])
		prompt = prompt[size:]
		names = append(names, fmt.Sprintf("%016x", h.Sum64()))
	}
	return names
}

// ServiceAnswer returns the body that an emulated plain service answers to a call. The target is the path with its
// query as the server sees it; it does not see the service's name, and every server gives the same answer. A query
// parameter "size" pads the body to at least so many bytes.
func ServiceResponse(method, target string, body []byte, size int) []byte {
	h := xxhash.New()
	_, _ = h.WriteString(method + "\n" + target + "\n")
	_, _ = h.Write(body)
	answer := serviceAnswer{
		Method: method,
		Target: target,
		Result: fmt.Sprintf("%016x", h.Sum64()),
	}
	raw, _ := json.Marshal(answer) // Strings always encode.
	if missing := size - len(raw); missing > 0 {
		answer.Padding = strings.Repeat(answer.Result, missing/len(answer.Result)+1)[:missing]
		raw, _ = json.Marshal(answer)
	}
	return raw
}

type serviceAnswer struct {
	Method  string `json:"method"`
	Target  string `json:"target"`
	Result  string `json:"result"`
	Padding string `json:"padding,omitempty"`
}

func answerSeed(model laceunit.ModelID, prompt string) uint64 {
	return xxhash.Sum64String(string(model) + "\n" + prompt)
}

func answerLength(seed uint64, most laceunit.Tokens) laceunit.Tokens {
	return max(0, min(most, laceunit.Tokens(shortest+seed%spread)))
}

// token returns the token of an answer at an index.
func token(seed uint64, index int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	at := xxhash.Sum64(b[:]) % uint64(len(words)/wordLength) * wordLength
	return " " + words[at:at+wordLength]
}
