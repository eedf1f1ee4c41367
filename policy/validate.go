package policy

import (
	"fmt"
	"math"
)

// SettingsError reports a setting with which no gateway can work.
type SettingsError struct {
	Key     string // path in the deployment's settings file, which operators edit
	Problem string // what is wrong with the value
}

func (e *SettingsError) Error() string { return e.Key + ": " + e.Problem }

// validate returns a *SettingsError for the first invalid setting, or nil.
func validate(s *Settings) error {
	if s.Gateways < 1 {
		return &SettingsError{"balancers", fmt.Sprintf("must be at least 1, got %d", s.Gateways)}
	}
	if len(s.Classes) == 0 {
		return &SettingsError{"classes", "must have at least one class"}
	}
	for i := range s.Classes {
		if err := validateClass(&s.Classes[i], i); err != nil {
			return err
		}
	}
	if s.ProgressInterval < 0 {
		return &SettingsError{
			"extra.tells-every-ms", fmt.Sprintf("must not be negative, got %v", s.ProgressInterval),
		}
	}
	return validateRules(&s.Rules)
}

func validateClass(c *Class, index int) error {
	key := func(name string) string { return fmt.Sprintf("classes[%d].%s", index, name) }
	switch {
	case c.Name == "":
		return &SettingsError{key("name"), "must not be empty"}
	case c.LatencyObjective <= 0:
		return &SettingsError{key("aim-ms"), fmt.Sprintf("must be above 0, got %v", c.LatencyObjective)}
	case c.Timeout <= 0:
		return &SettingsError{key("hard-limit-ms"), fmt.Sprintf("must be above 0, got %v", c.Timeout)}
	case !isFiniteNonNegative(c.Threads):
		key := fmt.Sprintf("extra.parallelism[%d]", index)
		return &SettingsError{key, fmt.Sprintf("must be finite and not negative, got %v", c.Threads)}
	case !isFiniteNonNegative(c.PriorityWeight):
		return &SettingsError{
			key("importance"), fmt.Sprintf("must be finite and not negative, got %v", c.PriorityWeight),
		}
	case c.Idempotency == IdempotentWithKey && c.DedupWindow < 0:
		return &SettingsError{key("window-ms"), fmt.Sprintf("must not be negative, got %v", c.DedupWindow)}
	}
	return nil
}

func validateRules(r *Rules) error {
	switch {
	case !(r.RetryBudgetBase >= 0): // false for NaN
		return &SettingsError{
			"contract.extra-free", fmt.Sprintf("must not be negative, got %v", r.RetryBudgetBase),
		}
	case !(r.RetryBudgetRatio >= 0):
		return &SettingsError{
			"contract.resend-ratio", fmt.Sprintf("must not be negative, got %v", r.RetryBudgetRatio),
		}
	case r.RetryBudgetWindow < 0:
		return &SettingsError{
			"contract.look-back-ms", fmt.Sprintf("must not be negative, got %v", r.RetryBudgetWindow),
		}
	}
	return nil
}

func isFiniteNonNegative(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
