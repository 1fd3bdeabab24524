package lacebackend

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const (
	chunk0   = `data: {"attempt":"a","index":0,"text":"one "}` + "\n\n"
	chunk1   = `data: {"attempt":"a","index":1,"text":"two"}` + "\n\n"
	endChunk = `data: {"attempt":"a","end":true,"tokens":2,"prompt":5}` + "\n\n"
)

// decode returns the text and the last chunk of a stream that starts at an index.
func decode(input string, nextIndex int) (string, Chunk, error) {
	d := decoder{
		events:    newEventReader(strings.NewReader(input), 256, 4096, nil),
		attempt:   "a",
		nextIndex: nextIndex,
	}
	var text strings.Builder
	for {
		c, err := d.nextChunk()
		if err != nil || c.End {
			return text.String(), c, err
		}
		text.WriteString(c.Text)
	}
}

// Guards against forwarding streams of another attempt, with repeated or missing chunks, truncated, too long, or with
// data after the end.
func TestDecoderRejectsInvalidStreams(t *testing.T) {
	for _, c := range []struct {
		name      string
		input     string
		nextIndex int
		text      string
		want      error
	}{
		{"whole", chunk0 + chunk1 + endChunk, 0, "one two", nil},
		{
			"carriage returns and comments",
			": hello\r\n\r\n" + strings.ReplaceAll(chunk0+chunk1+endChunk, "\n", "\r\n"),
			0, "one two", nil,
		},
		{"resumed", chunk1 + endChunk, 1, "two", nil},
		{"crossed", chunk0 + strings.Replace(chunk1, `"a"`, `"b"`, 1) + endChunk, 0, "one ", ErrWrongAttempt},
		{"end of another attempt", chunk0 + strings.Replace(endChunk, `"a"`, `"b"`, 1), 0, "one ", ErrWrongAttempt},
		{"no attempt", chunk0 + `data: {"index":1,"text":"x"}` + "\n\n" + endChunk, 0, "one ", ErrWrongAttempt},
		{"gap", chunk1 + endChunk, 0, "", ErrChunkOrder},
		{"repeated", chunk0 + chunk0 + endChunk, 0, "one ", ErrChunkOrder},
		{"resumed too early", chunk0 + chunk1 + endChunk, 1, "", ErrChunkOrder},
		{"end at another index", chunk0 + strings.Replace(endChunk, `"end"`, `"index":2,"end"`, 1), 0, "one ", ErrChunkOrder},
		{"no end", chunk0 + chunk1, 0, "one two", ErrIncomplete},
		{"truncated end", chunk0 + strings.TrimSuffix(endChunk, "\n"), 0, "one ", ErrIncomplete},
		{"empty", "", 0, "", ErrIncomplete},
		{"text after the end", chunk0 + endChunk + chunk1, 0, "one ", ErrTrailingData},
		{"second end", chunk0 + endChunk + endChunk, 0, "one ", ErrTrailingData},
		{"partial text after the end", chunk0 + endChunk + "data: {", 0, "one ", ErrIncomplete},
		{"cancelled", chunk0 + strings.Replace(endChunk, `"end"`, `"cancelled":true,"end"`, 1), 0, "one ", ErrIncomplete},
		{"text in the end", strings.Replace(endChunk, `"end"`, `"text":"x","end"`, 1), 0, "", ErrMalformed},
		{"no counts", chunk0 + `data: {"attempt":"a","end":true}` + "\n\n", 0, "one ", ErrMalformed},
		{"no text", `data: {"attempt":"a","index":0}` + "\n\n" + endChunk, 0, "", ErrMalformed},
		{"not JSON", "data: {]\n\n", 0, "", ErrMalformed},
		{"not UTF-8", strings.Replace(chunk0, "one", "\xff", 1) + endChunk, 0, "", ErrMalformed},
		{
			"long line",
			chunk0 + `data: {"attempt":"a","index":1,"text":"` + strings.Repeat("x", 256) + "\"}\n\n" + endChunk,
			0, "one ", ErrTooLong,
		},
		{
			"long event",
			chunk0 + strings.Repeat("data: "+strings.Repeat("x", 99)+"\n", 3) + "\n" + endChunk,
			0, "one ", ErrTooLong,
		},
		{"long stream", chunk0 + strings.Repeat(": "+strings.Repeat("x", 99)+"\n", 41) + endChunk, 0, "one ", ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, last, err := decode(c.input, c.nextIndex)
			if !errors.Is(err, c.want) || text != c.text {
				t.Fatalf("got %q, %v; want %q, %v", text, err, c.text, c.want)
			}
			if c.want == nil && (last.OutputTokens != 2 || last.PromptTokens != 5) {
				t.Fatalf("token counts %+v", last)
			}
		})
	}
}

// Guards against a decoder that returns further chunks after the end or after an error.
func TestDecoderResultIsPermanent(t *testing.T) {
	for input, want := range map[string]error{chunk0 + endChunk: io.EOF, chunk1 + chunk0 + endChunk: ErrChunkOrder} {
		d := decoder{
			events:  newEventReader(strings.NewReader(input), 256, 4096, nil),
			attempt: "a",
		}
		for range 3 {
			_, _ = d.nextChunk()
		}
		if _, err := d.nextChunk(); !errors.Is(err, want) {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
}

// Guards against any input for which the decoder returns a chunk out of order, an end chunk before the end of the
// input, or text that is not in the input.
func FuzzDecoder(f *testing.F) {
	f.Fuzz(func(t *testing.T, input string, start uint8) {
		d := decoder{
			events:    newEventReader(strings.NewReader(input), 256, 4096, nil),
			attempt:   "a",
			nextIndex: int(start),
		}
		for nextIndex := int(start); ; nextIndex++ {
			c, err := d.nextChunk()
			if err != nil {
				return
			}
			if c.Index != nextIndex {
				t.Fatalf("index %d, want %d", c.Index, nextIndex)
			}
			if c.End {
				if _, err := d.nextChunk(); !errors.Is(err, io.EOF) || d.events.reader.Buffered() > 0 ||
					len(input) > 4096 {
					t.Fatalf("end chunk before the end of the input: %v", err)
				}
				return
			}
			if len(c.Text) > 3*256 {
				t.Fatalf("text of %d bytes", len(c.Text))
			}
		}
	})
}

// Guards against a change of the token count, which would change what callers pay, and of the prefix hash.
func TestTokensAndPrefix(t *testing.T) {
	for prompt, want := range map[string]int{
		"": 1, " \n": 1, "word": 1, "two words": 3, "Stop, now!": 3, "don't": 2, "a_b é 12": 3, "日本 語。": 4, "\xff\xff": 1,
	} {
		if got := CountTokens(prompt); int(got) != want {
			t.Errorf("%q has %d tokens, want %d", prompt, got, want)
		}
	}
	shared := strings.Repeat("rule ", prefixBlockBytes)
	if PrefixOf("m", shared+"x") != PrefixOf("m", shared+"y") || PrefixOf("m", shared) == 0 {
		t.Error("prompts with the same first block have different prefixes")
	}
	if PrefixOf("m", shared) == PrefixOf("n", shared) || PrefixOf("m", shared) == PrefixOf("m", "x"+shared) {
		t.Error("prompts with different first blocks or models have the same prefix")
	}
	if PrefixOf("m", shared[:prefixBlockBytes-1]) != 0 {
		t.Error("a prompt shorter than a block has a prefix")
	}
}
