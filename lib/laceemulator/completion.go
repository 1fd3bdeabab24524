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
	// bytesPerToken is the prompt length that the emulated engines count as one token.
	bytesPerToken = 4
	// blockTokens is the number of prompt tokens in a block of the prefix cache.
	blockTokens = 64
	// minCompletionTokens and completionTokensRange set the length of completions before the output limit is applied.
	minCompletionTokens   = 8
	completionTokensRange = 120
)

// vocabulary is the vocabulary of emulated completions: 32 words of wordLength letters. Two completions have the same
// word at a position by chance in 1 of 32 cases, so completions of different prompts can't be mistaken for each other.
const vocabulary = "amberbasincedardeltaemberfjordgrovehaven" +
	"inletjettyochrelarchmarshnorthplainridge" +
	"shoaltidalupperwharfxeniayieldzonalbirch" +
	"cliffflintgladedunesquaysvalescreekbight"

const wordLength = 5

// Completion returns the full text that an emulated engine generates for a prompt, limited to maxTokens output tokens.
//
// It is deterministic: the length before the limit is 8 to 127 tokens and, like each token, depends only on the hash of
// the model and the prompt. The output limit truncates the text, so a completion with a lower limit is a prefix of one
// with a higher limit. A token is a word with a leading space, and a stream carries one token in each chunk.
func Completion(model laceunit.ModelID, prompt string, maxTokens laceunit.Tokens) string {
	seed := completionSeed(model, prompt)
	var b strings.Builder
	for i := range int(completionLength(seed, maxTokens)) {
		b.WriteString(completionToken(seed, i))
	}
	return b.String()
}

// CompletionTokens returns the number of output tokens of Completion.
func CompletionTokens(model laceunit.ModelID, prompt string, maxTokens laceunit.Tokens) laceunit.Tokens {
	return completionLength(completionSeed(model, prompt), maxTokens)
}

// PromptTokens returns the number of tokens that an emulated engine counts for a prompt: one for every 4 bytes, rounded
// up, and at least one.
func PromptTokens(prompt string) laceunit.Tokens {
	return max(1, laceunit.Tokens(len(prompt)+bytesPerToken-1)/bytesPerToken)
}

// PrefixBlocks returns the ids of the complete blocks of a prompt, as used by the prefix cache and its events. A block
// is 256 bytes long, and its id is the hash of the model and of the prompt up to the end of the block.
func PrefixBlocks(model laceunit.ModelID, prompt string) []string {
	const size = blockTokens * bytesPerToken
	var ids []string
	h := xxhash.New()
	_, _ = h.WriteString(string(model) + "\n")
	for len(prompt) >= size {
		_, _ = h.WriteString(prompt[:size])
		prompt = prompt[size:]
		ids = append(ids, fmt.Sprintf("%016x", h.Sum64()))
	}
	return ids
}

// ServiceResponse returns the response body of an emulated plain service to a call. The target is the path and query
// that the server receives. These don't include the name of the service, and every server returns the same body for the
// same call. The query parameter "size" pads the body to at least that many bytes.
func ServiceResponse(method, target string, body []byte, size int) []byte {
	h := xxhash.New()
	_, _ = h.WriteString(method + "\n" + target + "\n")
	_, _ = h.Write(body)
	response := serviceResponseBody{
		Method: method,
		Target: target,
		Result: fmt.Sprintf("%016x", h.Sum64()),
	}
	raw, _ := json.Marshal(response) // Marshalling strings does not fail.
	if missing := size - len(raw); missing > 0 {
		response.Padding = strings.Repeat(response.Result, missing/len(response.Result)+1)[:missing]
		raw, _ = json.Marshal(response)
	}
	return raw
}

type serviceResponseBody struct {
	Method  string `json:"method"`
	Target  string `json:"target"`
	Result  string `json:"result"`
	Padding string `json:"padding,omitempty"`
}

func completionSeed(model laceunit.ModelID, prompt string) uint64 {
	return xxhash.Sum64String(string(model) + "\n" + prompt)
}

func completionLength(seed uint64, maxTokens laceunit.Tokens) laceunit.Tokens {
	return max(0, min(maxTokens, laceunit.Tokens(minCompletionTokens+seed%completionTokensRange)))
}

// completionToken returns the token of a completion at an index.
func completionToken(seed uint64, index int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	start := xxhash.Sum64(b[:]) % uint64(len(vocabulary)/wordLength) * wordLength
	return " " + vocabulary[start:start+wordLength]
}
