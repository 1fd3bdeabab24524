package lacebackend

import (
	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// prefixBytes is the length of the first block of an engine's prefix cache.
const prefixBytes = 256

// Prefix identifies the first block of a prompt for one model, as engines name it in their cache events; zero means
// that the prompt is shorter than a block, of which engines cache nothing.
type Prefix uint64

// bytesPerToken is what engines count for a prompt: one token for each 4 bytes begun.
const bytesPerToken = 4

// CountTokens returns the tokens of a prompt as the engines count them. Reservations rest on it, so it must not be
// less than what they report: a rule that counted words gave ceilings that long words exceeded.
func CountTokens(prompt string) laceunit.Tokens {
	return max(1, laceunit.Tokens((len(prompt)+bytesPerToken-1)/bytesPerToken))
}

// PrefixOf returns the prefix of a prompt: the hash of the model, a line feed and the first 256 bytes.
func PrefixOf(model laceunit.ModelID, prompt string) Prefix {
	if len(prompt) < prefixBytes {
		return 0
	}
	d := xxhash.New()
	_, _ = d.WriteString(string(model) + "\n")
	_, _ = d.WriteString(prompt[:prefixBytes])
	return Prefix(d.Sum64())
}
