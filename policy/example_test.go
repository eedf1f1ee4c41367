package policy_test

import (
	"fmt"
	"time"

	"gannetspur/policy"
)

// A gateway process embeds one Gateway, passes it every event and carries out the actions that it returns.
func Example() {
	gateway, err := policy.New(policy.Settings{
		Gateways: 1,
		Zone:     "a",
		Kinds:    []policy.Kind{{Name: "small", Cores: 1}},
		Classes: []policy.Class{{
			Name: "lookup", LatencyObjective: 200 * time.Millisecond, Timeout: time.Second, PriorityWeight: 1, Threads: 2, Idempotency: policy.Idempotent,
		}},
		Limits: policy.Limits{MaxAttempts: 3, AllowCancel: true},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	clock := time.Hour
	handle := func(ev policy.Event) {
		for _, a := range gateway.Handle(clock, ev, nil) {
			if _, isTimer := a.(policy.SetTimer); !isTimer {
				fmt.Printf("%T %+v\n", a, a)
			}
		}
	}
	handle(policy.EngineList{Mode: policy.ListFull, Engines: []policy.Engine{
		{ID: "engine-1", Zone: "a", Kind: "small", State: policy.EngineLive},
	}})
	handle(policy.QueryArrived{Query: 1, Class: "lookup", Deadline: clock + time.Second})
	handle(policy.QueryArrived{Query: 2, Class: "lookup", Deadline: clock + time.Second})
	clock += 50 * time.Millisecond
	handle(policy.AttemptEnded{Query: 1, Result: policy.ResultSuccess, Elapsed: 50 * time.Millisecond, Final: true})
	handle(policy.QueryArrived{Query: 3, Class: "lookup", Deadline: clock + time.Second})
	// Output:
	// policy.Send {Query:1 Engine:engine-1 Timeout:1s}
	// policy.Reject {Query:2 RetryAfter:0s}
	// policy.Send {Query:3 Engine:engine-1 Timeout:1s}
}
