package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh" default:"bash" help:"One of ${enum}."`
}

// Run prints a script made from the grammar, so that it can't fall behind it.
func (c *completionCommand) Run(k *kong.Kong) error {
	var cases strings.Builder
	var walk func(n *kong.Node, path string)
	walk = func(n *kong.Node, path string) {
		var words []string
		for _, child := range n.Children {
			words = append(words, child.Name)
		}
		for _, flags := range n.AllFlags(true) {
			for _, f := range flags {
				words = append(words, "--"+f.Name)
			}
		}
		fmt.Fprintf(&cases, "    %q) words=%q ;;\n", strings.TrimSpace(path), strings.Join(words, " "))
		for _, child := range n.Children {
			walk(child, path+" "+child.Name)
		}
	}
	walk(k.Model.Node, "")
	if c.Shell == "zsh" {
		fmt.Println("autoload -U +X bashcompinit && bashcompinit")
	}
	fmt.Printf(`_ringwood() {
  local path="" word words="" i
  for ((i = 1; i < COMP_CWORD; i++)); do
    word="${COMP_WORDS[i]}"
    case "$word" in -*) ;; *) path="${path:+$path }$word" ;; esac
  done
  case "$path" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _ringwood ringwood
`, cases.String())
	return nil
}
