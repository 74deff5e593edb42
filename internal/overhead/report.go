package overhead

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Text writes the report as a table for people.
func (r *Report) Text(w io.Writer) error {
	fmt.Fprintf(w, "%d cores, %s; %d nodes, %d clients in the closed loop, medians of %d rounds; each proxy on one core\n", r.Cores, r.Go, r.Nodes, r.Clients, r.Rounds)
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(tab, "way\trequests/s\tCPU us/request\tmemory MB\tnot served\t")
	if len(r.Rows) > 0 {
		for _, x := range r.Rows[0].Rates {
			fmt.Fprintf(tab, "p50 us at %g/s\tp99 us\t", x.PerS)
		}
	}
	fmt.Fprintln(tab)
	for _, row := range r.Rows {
		fmt.Fprintf(tab, "%s\t%.0f\t%.1f\t%.1f\t%d\t", row.Variant, row.RequestsPerS, row.CPUUs, row.PeakMemoryMB, row.NotServed)
		for _, x := range row.Rates {
			fmt.Fprintf(tab, "%.0f\t%.0f\t", x.P50Us, x.P99Us)
		}
		fmt.Fprintln(tab)
	}
	return tab.Flush()
}
