package lacegateway

import (
	"strings"
	"testing"
)

// Guards against a caller's body that makes the decoder panic, or that passes without a model, a prompt or a sane limit.
func FuzzDecodeChat(f *testing.F) {
	for _, body := range []string{
		chatBody,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`,
		`{"model":"m","messages":[{"role":"user","content":null}],"max_tokens":-1}`,
		`{"model":"","messages":[],"n":2}`,
		`{"max_completion_tokens":9223372036854775807}`,
		`{`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		c, err := decodeChat(body)
		if err != nil {
			return
		}
		if c.Model == "" || c.MaxTokens < 0 || !strings.Contains(c.Prompt, ": ") {
			t.Fatalf("%q decodes to %+v", body, c)
		}
	})
}
