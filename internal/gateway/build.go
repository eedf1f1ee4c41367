package gateway

import (
	"fmt"
	"runtime/debug"
)

// BuildName describes the version of this program: module version, revision, and Go version.
func BuildName() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown version"
	}
	revision, modified := "unknown", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = ", modified"
		}
	}
	return fmt.Sprintf("%s (%s%s), %s", info.Main.Version, revision, modified, info.GoVersion)
}
