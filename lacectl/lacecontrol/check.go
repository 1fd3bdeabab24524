package lacecontrol

import (
	"context"

	"lacewingcove/lib/lacesetting"
)

func checkCommand() command {
	return command{
		name: "check", args: "FILE", count: 1, local: true, run: check,
		short:   "checks a settings file of the router and prints the effective settings as YAML",
		example: "lacectl check samples/router.yaml",
	}
}

func check(_ context.Context, j *job) error {
	s, _, err := lacesetting.Load("check", []string{"-settings", j.args[0]}, j.err)
	if err != nil {
		return err
	}
	text, err := lacesetting.Encode(s)
	if err != nil {
		return err
	}
	return j.print(string(text))
}
