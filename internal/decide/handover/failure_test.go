package handover

import "testing"

// Guards against a changed text: operators and their scripts read these texts, and the log has them.
func TestFailureTexts(t *testing.T) {
	for want, failure := range map[string]Failure{
		"":                                       {},
		"another upgrade or a stop is under way": {Reason: UpgradeOrShutdownInProgress},
		"x.toml:7: no port":                      {Reason: TargetProblem, Detail: "x.toml:7: no port"},
		"its version and this one don't understand each other": {Reason: IncompatibleVersion},
		"it did not say what it is in time":                    {Reason: HelloTimedOut},
		"it was not ready in time":                             {Reason: WarmUpTimedOut},
		"it went silent":                                       {Reason: HeartbeatTimedOut},
		"it takes too much memory":                             {Reason: TooMuchMemory},
		"too many of its answers are errors of its own":        {Reason: TooManyFailures},
		"none of its answers was good":                         {Reason: NoSuccessfulResponse},
		"it takes requests and answers none":                   {Reason: NoResponse},
		"a planned stop came first":                            {Reason: ShutdownRequested},
		"it died":                                              {Reason: TargetDied},
		"it died after it was the owner; what it had was lost": {Reason: OwnerDied},
	} {
		if got := failure.String(); got != want || failure.Failed() != (want != "") {
			t.Errorf("%+v: String() = %q, Failed() = %v, want %q, %v", failure, got, failure.Failed(), want, want != "")
		}
	}
}
