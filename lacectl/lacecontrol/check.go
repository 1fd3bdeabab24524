package lacecontrol

import (
	"context"

	"lacewingcove/lib/lacesetting"
)

func checkCommand() command {
	return command{
		name: "check", argNames: "FILE", argCount: 1, local: true, run: checkSettings,
		short:   "checks a settings file of the router and prints the effective settings as YAML",
		example: "lacectl check samples/router.yaml",
	}
}

func checkSettings(_ context.Context, j *invocation) error {
	s, _, err := lacesetting.Load("check", []string{"-settings", j.args[0]}, j.stderr)
	if err != nil {
		return err
	}
	text, err := lacesetting.Encode(s)
	if err != nil {
		return err
	}
	return j.print(string(text))
}
