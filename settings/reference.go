// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Reference writes the table of options as a Markdown table, for the reference page.
func Reference(w io.Writer, t Table) {
	fmt.Fprintln(w, "| setting | kind | default | means |\n| --- | --- | --- | --- |")
	for _, o := range t {
		fmt.Fprintf(w, "| `%s` | %s | %s | %s |\n", o.Name, o.Kind, o.defaultText(), o.Help)
	}
}

func (o Option) defaultText() string {
	if o.Required {
		return "required"
	}
	if d, ok := o.Default.(time.Duration); ok {
		return d.String()
	}
	raw, err := json.Marshal(o.Default)
	if err != nil || string(raw) == `""` {
		return "none"
	}
	return string(raw)
}
