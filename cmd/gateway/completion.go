package main

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh" default:"bash" help:"Shell to generate the script for: ${enum}." name:"shell"`
}

// Run prints a completion script. It is generated from the command-line grammar, so that the two cannot differ.
func (c *completionCommand) Run(parser *kong.Kong) error {
	var cases strings.Builder
	writeCompletionCases(&cases, parser.Model.Node, "")
	prologue := ""
	if c.Shell == "zsh" {
		prologue = "autoload -U +X bashcompinit && bashcompinit\n"
	}
	_, err := fmt.Printf(completionScript, prologue, cases.String())
	return err
}

// writeCompletionCases writes one case of the script for a command and one for each of its subcommands. path is the
// command's full name without the program's, with a leading space; "" stands for the program itself.
func writeCompletionCases(script *strings.Builder, command *kong.Node, path string) {
	var candidates []string
	for _, child := range command.Children {
		candidates = append(candidates, child.Name)
	}
	for _, flags := range command.AllFlags(true) {
		for _, flag := range flags {
			candidates = append(candidates, "--"+flag.Name)
		}
	}
	fmt.Fprintf(script, "    %q) words=%q ;;\n", strings.TrimSpace(path), strings.Join(candidates, " "))
	for _, child := range command.Children {
		writeCompletionCases(script, child, path+" "+child.Name)
	}
}

// completionScript is a format for the shell's prologue and the cases.
const completionScript = `%s_ringwood() {
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
complete -o default -F _ringwood gateway
`
