package ctl

import (
	"context"
	"fmt"
)

// completers are the scripts, by shell, that complete command lines by calling
// parsleyctl itself, as go-flags supports it.
var completers = map[string]string{
	"bash": `_parsleyctl() {
  local IFS=$'\n'
  COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
  [[ ${#COMPREPLY[@]} -eq 1 && ${COMPREPLY[0]} == */ ]] && compopt -o nospace
  return 0
}
complete -F _parsleyctl parsleyctl
`,
	"zsh": `#compdef parsleyctl
_parsleyctl() {
  local -a items
  items=(${(f)"$(GO_FLAGS_COMPLETION=1 ${words[1]} "${(@)words[2,$CURRENT]}")"})
  compadd -S '' -- ${(M)items:#*/}
  compadd -- ${items:#*/}
}
compdef _parsleyctl parsleyctl
`,
}

func (a *app) completion(context.Context) error {
	fmt.Fprint(a.out, completers[a.options.Completion.Args.Shell])
	return nil
}
