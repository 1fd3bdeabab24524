package lacebackend

import (
	"unicode"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/laceunit"
)

// prefixTokens is how much of a prompt decides its prefix: engines cache whole blocks, and a shared instruction is
// longer than this while two unrelated prompts rarely agree for as long.
const prefixTokens = 32

// Prefix identifies the beginning of a prompt for one model.
type Prefix uint64

// CountTokens returns the tokens of a prompt as the engines count them: each maximal run of letters, digits, marks
// and underscores is one token, each other rune that is not white space is one token.
func CountTokens(prompt string) laceunit.Tokens {
	var n laceunit.Tokens
	for rest := prompt; ; n++ {
		size := nextToken(rest)
		if size == 0 {
			return n
		}
		rest = rest[size:]
	}
}

// PrefixOf returns the prefix of a prompt: the hash of the model and of the first 32 tokens with their spacing.
func PrefixOf(model laceunit.ModelID, prompt string) Prefix {
	end := 0
	for range prefixTokens {
		size := nextToken(prompt[end:])
		if size == 0 {
			break
		}
		end += size
	}
	d := xxhash.New()
	_, _ = d.WriteString(string(model))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prompt[:end])
	return Prefix(d.Sum64())
}

// nextToken returns the bytes up to the end of the first token, or zero when there is none.
func nextToken(s string) int {
	start := 0
	for start < len(s) {
		r, size := utf8.DecodeRuneInString(s[start:])
		if !unicode.IsSpace(r) {
			break
		}
		start += size
	}
	if start == len(s) {
		return 0
	}
	end := start
	for end < len(s) {
		r, size := utf8.DecodeRuneInString(s[end:])
		if !wordRune(r) {
			if end == start {
				end += size
			}
			break
		}
		end += size
	}
	return end
}

func wordRune(r rune) bool {
	return unicode.IsLetter(r) || unicode.IsDigit(r) || unicode.IsMark(r) || r == '_'
}
