package policy

import (
	"errors"
	"fmt"
	"math"
)

// check names the first field of the settings that no gateway can work with.
func check(s *Settings) error {
	if s.Gateways < 1 {
		return fmt.Errorf("Gateways: %d is under 1", s.Gateways)
	}
	if len(s.Classes) == 0 {
		return errors.New("Classes: none")
	}
	for i, c := range s.Classes {
		switch {
		case c.Name == "":
			return fmt.Errorf("Classes[%d].Name: empty", i)
		case c.LatencyObjective <= 0:
			return fmt.Errorf("Classes[%d].Aim: %v is not above 0", i, c.LatencyObjective)
		case c.Timeout <= 0:
			return fmt.Errorf("Classes[%d].Deadline: %v is not above 0", i, c.Timeout)
		case c.Threads < 0 || math.IsNaN(c.Threads) || math.IsInf(c.Threads, 0):
			return fmt.Errorf("Classes[%d].Threads: %v is not a count", i, c.Threads)
		case !(c.PriorityWeight >= 0) || math.IsInf(c.PriorityWeight, 0):
			return fmt.Errorf("Classes[%d].Worth: %v is not a worth", i, c.PriorityWeight)
		case c.Idempotency == IdempotentWithKey && c.DedupWindow < 0:
			return fmt.Errorf("Classes[%d].Window: %v is under 0", i, c.DedupWindow)
		}
	}
	switch {
	case s.ProgressInterval < 0:
		return fmt.Errorf("NoteEvery: %v is under 0", s.ProgressInterval)
	case !(s.Rules.RetryBudgetBase >= 0):
		return fmt.Errorf("Rules.ExtraFree: %v is under 0", s.Rules.RetryBudgetBase)
	case !(s.Rules.RetryBudgetRatio >= 0):
		return fmt.Errorf("Rules.ExtraShare: %v is under 0", s.Rules.RetryBudgetRatio)
	case s.Rules.RetryBudgetWindow < 0:
		return fmt.Errorf("Rules.LookBack: %v is under 0", s.Rules.RetryBudgetWindow)
	}
	return nil
}
