package lacebackend

import (
	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// prefixBlockBytes is the length of the first block in an engine's prefix cache.
const prefixBlockBytes = 256

// Prefix identifies the first block of a prompt for one model; engines use the same value in their cache events. Zero
// means that the prompt is shorter than a block; engines don't cache such prompts.
type Prefix uint64

// bytesPerToken is the size of a prompt token: engines count one token for each 4 bytes or part of them.
const bytesPerToken = 4

// CountTokens returns the number of tokens in a prompt by the rule that engines use. Token reservations depend on it,
// so that it must not be lower than the count that engines report. Counting words resulted in ceilings that prompts
// with long words exceeded.
func CountTokens(prompt string) laceunit.Tokens {
	return max(1, laceunit.Tokens((len(prompt)+bytesPerToken-1)/bytesPerToken))
}

// PrefixOf returns the prefix of a prompt: the xxHash64 of the model, a line feed and the first 256 bytes.
func PrefixOf(model laceunit.ModelID, prompt string) Prefix {
	if len(prompt) < prefixBlockBytes {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(string(model) + "\n")
	_, _ = d.WriteString(prompt[:prefixBlockBytes])
	return Prefix(d.Sum64())
}
