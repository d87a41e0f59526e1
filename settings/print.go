// SPDX-License-Identifier: Apache-2.0

package settings

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Print writes the effective settings as JSON with comments, in the format that Read
// accepts.
func Print(w io.Writer, t Table, v Values) error {
	fmt.Fprintln(w, "{")
	for _, o := range t {
		value := v.values[o.Name]
		if d, ok := value.(time.Duration); ok {
			value = d.String()
		}
		raw, err := json.Marshal(value)
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "  // %s (%s)\n  %q: %s,\n", o.Help, o.Kind, o.Name, raw)
	}
	_, err := fmt.Fprintln(w, "}")
	return err
}
