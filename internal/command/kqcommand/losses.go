package kqcommand

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqloss"
)

// flowLosses returns a command that reads log files instead of querying processes, so that it also
// works when no process is running.
func (a *app) flowLosses() *cobra.Command {
	o := a.newOperatorCommand(&cobra.Command{Use: "losses FILE...", Args: cobra.MinimumNArgs(1),
		Short: "Report from logs the value that flows lost, by cause; - reads standard input"})
	o.cmd.RunE = func(cmd *cobra.Command, args []string) error {
		var analyzer kqloss.Analyzer
		for _, file := range args {
			if err := readLog(&analyzer, cmd.InOrStdin(), file); err != nil {
				return err
			}
		}
		r := analyzer.Report()
		if len(r.Queues) == 0 && r.Pacing.ServingMS == 0 {
			return kqresult.Errorf(kqresult.BadDocument, "these logs contain no planned flow (%d lines could not be read)", r.UnreadableLines)
		}
		return o.print(r, lossTable(r))
	}
	return o.cmd
}

func readLog(analyzer *kqloss.Analyzer, in io.Reader, file string) error {
	if file == "-" {
		return analyzer.Read(in)
	}
	f, err := os.Open(file)
	if err != nil {
		return kqresult.Errorf(kqresult.BadDocument, "%v", err)
	}
	defer f.Close()
	return analyzer.Read(f)
}

const msPerSecond = 1000

func lossTable(r kqloss.Report) table {
	t := table{head: []string{"QUEUE", "FLOWS", "IN TIME", "LATE", "FAILED", "OPEN", "OWED", "LOST"}}
	for c := range kqloss.CauseCount {
		t.head = append(t.head, c.String())
	}
	for _, q := range r.Queues {
		row := []any{q.Queue, q.Jobs, q.InTime, q.Late, q.Failed, q.Open, fmt.Sprintf("%.1f", q.Value), fmt.Sprintf("%.1f", q.LostValue)}
		for c := range kqloss.CauseCount {
			row = append(row, fmt.Sprintf("%.1f (%.1f s)", q.LostByCause[c.String()], q.SecondsByCause[c.String()]))
		}
		t.addRow(row...)
	}
	t.addRow()
	t.addRow("QUEUE", "SIZE", "FLOWS", "IN TIME", "SERVED", "SHARE", "OF THE QUEUE'S")
	for _, s := range r.Sizes {
		t.addRow(s.Queue, s.Band, s.Jobs, s.InTime, s.Served, fmt.Sprintf("%.2f", s.ServedShare), fmt.Sprintf("%.2f", s.RelativeShare))
	}
	t.addRow()
	t.addRow("QUEUE", "BY", "NAME", "FLOWS", "REJECTED", "OWED", "LOST", "WAITED")
	for _, g := range r.Groups {
		t.addRow(g.Queue, g.By, g.Name, g.Jobs, g.Rejected, fmt.Sprintf("%.1f", g.Value), fmt.Sprintf("%.1f", g.LostValue), fmt.Sprintf("%.1f s", g.WaitSeconds))
	}
	t.addRow()
	t.addRow(fmt.Sprintf("serving tasks: %.0f s running, %.0f s over their target because of colocated filling tasks, %.0f s because of their own load",
		r.Pacing.ServingMS/msPerSecond, r.Pacing.OverTargetByFillingMS/msPerSecond, r.Pacing.OverTargetByLoadMS/msPerSecond))
	t.addRow(fmt.Sprintf("filling tasks: %.0f core-seconds at full speed, %.0f of it withheld by throttling", r.Pacing.FillingMS/msPerSecond, r.Pacing.ThrottledMS/msPerSecond))
	return t
}
