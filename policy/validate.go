package policy

import (
	"fmt"
	"math"
)

// SettingsError says which of the settings no gateway can work with.
type SettingsError struct {
	Key     string // its path in the deployment's settings file, which operators edit
	Problem string
}

func (e *SettingsError) Error() string { return e.Key + ": " + e.Problem }

// validate returns a *SettingsError for the first setting at fault.
func validate(s *Settings) error {
	if s.Gateways < 1 {
		return &SettingsError{"balancers", fmt.Sprintf("%d is under 1", s.Gateways)}
	}
	if len(s.Classes) == 0 {
		return &SettingsError{"classes", "none"}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if !isFiniteFromZero(c.Threads) {
			key := fmt.Sprintf("extra.parallelism[%d]", i)
			return &SettingsError{key, fmt.Sprintf("%v is not a count", c.Threads)}
		}
		if err := validateClass(c); err != nil {
			err.Key = fmt.Sprintf("classes[%d].%s", i, err.Key)
			return err
		}
	}
	if s.ProgressInterval < 0 {
		return &SettingsError{"extra.tells-every-ms", fmt.Sprintf("%v is under 0", s.ProgressInterval)}
	}
	if err := validateRules(&s.Rules); err != nil {
		return err
	}
	return nil
}

func validateClass(c *Class) *SettingsError {
	switch {
	case c.Name == "":
		return &SettingsError{"name", "empty"}
	case c.LatencyObjective <= 0:
		return &SettingsError{"aim-ms", fmt.Sprintf("%v is not above 0", c.LatencyObjective)}
	case c.Timeout <= 0:
		return &SettingsError{"hard-limit-ms", fmt.Sprintf("%v is not above 0", c.Timeout)}
	case !isFiniteFromZero(c.PriorityWeight):
		return &SettingsError{"importance", fmt.Sprintf("%v is not a weight", c.PriorityWeight)}
	case c.Idempotency == IdempotentWithKey && c.DedupWindow < 0:
		return &SettingsError{"window-ms", fmt.Sprintf("%v is under 0", c.DedupWindow)}
	}
	return nil
}

func validateRules(r *Rules) error {
	switch {
	case !(r.RetryBudgetBase >= 0): // false for NaN
		return &SettingsError{"contract.extra-free", fmt.Sprintf("%v is under 0", r.RetryBudgetBase)}
	case !(r.RetryBudgetRatio >= 0):
		return &SettingsError{"contract.resend-ratio", fmt.Sprintf("%v is under 0", r.RetryBudgetRatio)}
	case r.RetryBudgetWindow < 0:
		return &SettingsError{"contract.look-back-ms", fmt.Sprintf("%v is under 0", r.RetryBudgetWindow)}
	}
	return nil
}

func isFiniteFromZero(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
