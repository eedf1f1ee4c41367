package gateway

import (
	"fmt"
	"runtime/debug"
)

// BuildName names the version that this program was built from.
func BuildName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of an unknown version"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", changed since"
		}
	}
	return fmt.Sprintf("%s (%s%s), %s", info.Main.Version, revision, modified, info.GoVersion)
}
