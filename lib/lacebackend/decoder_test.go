package lacebackend

import (
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const (
	first  = `data: {"attempt":"a","index":0,"text":"one "}` + "\n\n"
	second = `data: {"attempt":"a","index":1,"text":"two"}` + "\n\n"
	end    = `data: {"attempt":"a","end":true,"tokens":2,"prompt":5}` + "\n\n"
)

func decode(input string, next int) (string, Chunk, error) {
	d := decoder{
		events:  newEventReader(strings.NewReader(input), 256, 4096),
		attempt: "a",
		next:    next,
	}
	var text strings.Builder
	for {
		c, err := d.chunk()
		if err != nil || c.End {
			return text.String(), c, err
		}
		text.WriteString(c.Text)
	}
}

// Guards against crossed, repeated, cut, overlong and continued answers that reach a caller.
func TestDecoderRefusesWrongAnswers(t *testing.T) {
	for _, c := range []struct {
		name  string
		input string
		next  int
		text  string
		want  error
	}{
		{"whole", first + second + end, 0, "one two", nil},
		{"carriage returns and comments", ": hello\r\n\r\n" + strings.ReplaceAll(first+second+end, "\n", "\r\n"), 0, "one two", nil},
		{"resumed", second + end, 1, "two", nil},
		{"crossed", first + strings.Replace(second, `"a"`, `"b"`, 1) + end, 0, "one ", ErrWrongAttempt},
		{"crossed end", first + strings.Replace(end, `"a"`, `"b"`, 1), 0, "one ", ErrWrongAttempt},
		{"no attempt", first + `data: {"index":1,"text":"x"}` + "\n\n" + end, 0, "one ", ErrWrongAttempt},
		{"gap", second + end, 0, "", ErrChunkOrder},
		{"repeated", first + first + end, 0, "one ", ErrChunkOrder},
		{"resumed too early", first + second + end, 1, "", ErrChunkOrder},
		{"end at another index", first + strings.Replace(end, `"end"`, `"index":2,"end"`, 1), 0, "one ", ErrChunkOrder},
		{"no end", first + second, 0, "one two", ErrIncomplete},
		{"cut inside the end", first + strings.TrimSuffix(end, "\n"), 0, "one ", ErrIncomplete},
		{"empty", "", 0, "", ErrIncomplete},
		{"text after the end", first + end + second, 0, "one ", ErrTrailingData},
		{"second end", first + end + end, 0, "one ", ErrTrailingData},
		{"partial text after the end", first + end + "data: {", 0, "one ", ErrIncomplete},
		{"cancelled", first + strings.Replace(end, `"end"`, `"cancelled":true,"end"`, 1), 0, "one ", ErrIncomplete},
		{"text in the end", strings.Replace(end, `"end"`, `"text":"x","end"`, 1), 0, "", ErrMalformed},
		{"no counts", first + `data: {"attempt":"a","end":true}` + "\n\n", 0, "one ", ErrMalformed},
		{"no text", `data: {"attempt":"a","index":0}` + "\n\n" + end, 0, "", ErrMalformed},
		{"not JSON", "data: {]\n\n", 0, "", ErrMalformed},
		{"not UTF-8", strings.Replace(first, "one", "\xff", 1) + end, 0, "", ErrMalformed},
		{"long line", first + `data: {"attempt":"a","index":1,"text":"` + strings.Repeat("x", 256) + "\"}\n\n" + end, 0, "one ", ErrTooLong},
		{"long event", first + strings.Repeat("data: "+strings.Repeat("x", 99)+"\n", 3) + "\n" + end, 0, "one ", ErrTooLong},
		{"long stream", first + strings.Repeat(": "+strings.Repeat("x", 99)+"\n", 41) + end, 0, "one ", ErrTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, last, err := decode(c.input, c.next)
			if !errors.Is(err, c.want) || text != c.text {
				t.Fatalf("got %q, %v; want %q, %v", text, err, c.text, c.want)
			}
			if c.want == nil && (last.OutputTokens != 2 || last.PromptTokens != 5) {
				t.Fatalf("counts %+v", last)
			}
		})
	}
}

// Guards against a decoder that goes on after its end or after an error.
func TestDecoderStaysEnded(t *testing.T) {
	for input, want := range map[string]error{first + end: io.EOF, second + first + end: ErrChunkOrder} {
		d := decoder{
			events:  newEventReader(strings.NewReader(input), 256, 4096),
			attempt: "a",
		}
		for range 3 {
			_, _ = d.chunk()
		}
		if _, err := d.chunk(); !errors.Is(err, want) {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
}

// Guards against any input that makes the decoder pass on a chunk out of order, an end before the end of the input,
// or text that the input does not hold.
func FuzzDecoder(f *testing.F) {
	f.Fuzz(func(t *testing.T, input string, start uint8) {
		d := decoder{
			events:  newEventReader(strings.NewReader(input), 256, 4096),
			attempt: "a",
			next:    int(start),
		}
		for next := int(start); ; next++ {
			c, err := d.chunk()
			if err != nil {
				return
			}
			if c.Index != next {
				t.Fatalf("index %d, want %d", c.Index, next)
			}
			if c.End {
				if _, err := d.chunk(); !errors.Is(err, io.EOF) || d.events.reader.Buffered() > 0 || len(input) > 4096 {
					t.Fatalf("ended early: %v", err)
				}
				return
			}
			if len(c.Text) > 3*256 {
				t.Fatalf("text of %d bytes", len(c.Text))
			}
		}
	})
}

// Guards against a change of the token rule, which would change what callers pay, and of the prefix.
func TestTokensAndPrefix(t *testing.T) {
	for prompt, want := range map[string]int{
		"": 1, " \n": 1, "word": 1, "two words": 3, "Stop, now!": 3, "don't": 2, "a_b é 12": 3, "日本 語。": 4, "\xff\xff": 1,
	} {
		if got := CountTokens(prompt); int(got) != want {
			t.Errorf("%q has %d tokens, want %d", prompt, got, want)
		}
	}
	shared := strings.Repeat("rule ", prefixBytes)
	if PrefixOf("m", shared+"x") != PrefixOf("m", shared+"y") || PrefixOf("m", shared) == 0 {
		t.Error("prompts with the same beginning have different prefixes")
	}
	if PrefixOf("m", shared) == PrefixOf("n", shared) || PrefixOf("m", shared) == PrefixOf("m", "x"+shared) {
		t.Error("different beginnings have the same prefix")
	}
	if PrefixOf("m", shared[:prefixBytes-1]) != 0 {
		t.Error("a prompt shorter than a block has a prefix")
	}
}
