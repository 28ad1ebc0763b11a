package replay

import (
	"github.com/vanillaarch/vanillaarch/dispatch"
	"github.com/vanillaarch/vanillaarch/flowcontrol"
)

// alternatives are the ways of the fair policy that are compared on the design page.
var alternatives = map[string]dispatch.FairOptions{
	"fair-window-sum":         {Window: flowcontrol.SumPolicy},
	"fair-window-prompt":      {Window: flowcontrol.PromptPolicy},
	"fair-window-fixed":       {Window: flowcontrol.FixedPolicy},
	"fair-window-keep":        {KeepOnPreemption: true},
	"fair-window-prompt-keep": {Window: flowcontrol.PromptPolicy, KeepOnPreemption: true},
}

func init() {
	for name, options := range alternatives {
		Policies[name] = func() dispatch.Core { return dispatch.NewFair(options) }
	}
}
