package lacerelay

import (
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// describePrompt describes the prompt of a request whose service places requests by their tokens.
func (j *job) describePrompt(table *laceroute.Table, engine *laceroute.Engine) {
	strictest, ok := table.TokenPlacement(j.service)
	if !ok || !j.call.Metered {
		return
	}
	// Parts that claim more tokens than the prompt has are cut.
	own := j.call.Input
	for i := range j.call.PromptParts {
		p := &j.call.PromptParts[i]
		p.Tokens = min(p.Tokens, own)
		own -= p.Tokens
	}
	j.prompt = &lacebalancer.Prompt{
		Parts:          j.call.PromptParts,
		OwnTokens:      own,
		MaxOutput:      j.call.MaxOutput,
		LengthHint:     j.call.LengthHint,
		TokensPerEvent: engine.MaxTokensPerEvent,
		Objectives: lacebalancer.Objectives{
			FirstEvent: j.route.LatencyObjective,
			Pause:      j.route.MaxEventGap,
		},
		Strictest: lacebalancer.Objectives{
			FirstEvent: strictest.Latency,
			Pause:      strictest.EventGap,
		},
		ServerMemory: laceunit.Tokens(engine.MemoryTokens),
	}
}

// placementFields are the log fields of the estimate by which a request was placed.
func placementFields(d lacebalancer.Decision) []lacelog.Pair {
	if d.Placement == nil {
		return nil
	}
	return []lacelog.Pair{
		lacelog.P("prefill", d.Placement.Prefill), lacelog.P("cached", d.Placement.Cached),
		lacelog.P("first_ms", d.Placement.FirstEvent.Milliseconds()),
		lacelog.P("pause_ms", d.Placement.Pause.Milliseconds()),
	}
}
