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
		if err := validateClass(&s.Classes[i], i); err != nil {
			return err
		}
	}
	if s.ProgressInterval < 0 {
		return &SettingsError{"extra.tells-every-ms", fmt.Sprintf("%v is under 0", s.ProgressInterval)}
	}
	return validateRules(&s.Rules)
}

func validateClass(c *Class, index int) error {
	key := func(name string) string { return fmt.Sprintf("classes[%d].%s", index, name) }
	switch {
	case c.Name == "":
		return &SettingsError{key("name"), "empty"}
	case c.LatencyObjective <= 0:
		return &SettingsError{key("aim-ms"), fmt.Sprintf("%v is not above 0", c.LatencyObjective)}
	case c.Timeout <= 0:
		return &SettingsError{key("hard-limit-ms"), fmt.Sprintf("%v is not above 0", c.Timeout)}
	case !isFiniteFromZero(c.Threads):
		key := fmt.Sprintf("extra.parallelism[%d]", index)
		return &SettingsError{key, fmt.Sprintf("%v is not a count", c.Threads)}
	case !isFiniteFromZero(c.PriorityWeight):
		return &SettingsError{key("importance"), fmt.Sprintf("%v is not a weight", c.PriorityWeight)}
	case c.Idempotency == IdempotentWithKey && c.DedupWindow < 0:
		return &SettingsError{key("window-ms"), fmt.Sprintf("%v is under 0", c.DedupWindow)}
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
