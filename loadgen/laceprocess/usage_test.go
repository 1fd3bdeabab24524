package laceprocess

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
)

const metrics = `# TYPE go_goroutines gauge
go_goroutines 12
process_open_fds 7
`

// Guards against missing metrics that are taken for zero usage.
func TestMissingMetricsAreAnError(t *testing.T) {
	for text, want := range map[string]Usage{
		metrics: {},
		metrics + "process_resident_memory_bytes x\n":       {},
		metrics + "process_resident_memory_bytes 1.5e+07\n": {ResidentBytes: 15e6, OpenFiles: 7, Goroutines: 12},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, text)
		}))
		got, err := ScrapeUsage(t.Context(), s.Client(), s.URL)
		s.Close()
		if want.ResidentBytes > 0 && (got != want || err != nil) || want.ResidentBytes == 0 && err == nil {
			t.Errorf("%q: got %+v, %v", text, got, err)
		}
	}
}
