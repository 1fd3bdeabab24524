// Command stand starts the stand-ins of the review's cases: backend servers, the platform's store and clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "server" {
		if err := runServer(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	cases := map[string]func(*fleet, bool) (int, error){
		"unframed": runUnframed,
		"parts":    runParts,
		"short":    runShort,
		"single":   runSingle,
		"tokens":   runTokens,
		"reused":   runReused,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		f.record.line("the case could not run: %v", err)
		code = exitNotRun
	}
	f.finish(code)
	os.Exit(code)
}

// finish ends all processes and adds what the servers recorded, and the result, to the record.
func (f *fleet) finish(code int) {
	lines := f.logLines()
	if dir := os.Getenv("STAND_LOGS"); dir != "" {
		_ = os.CopyFS(dir, os.DirFS(f.dir))
	}
	f.close()
	for _, l := range lines {
		_, _ = fmt.Fprintln(f.record.out, "server: "+l)
	}
	f.record.line("exit code %d", code)
	_ = f.record.out.Close()
}
