package kqcommand

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/kumquatswitch/kumquatswitch/internal/core/kqresult"
	"github.com/kumquatswitch/kumquatswitch/internal/flow/kqloss"
)

// flowLosses reads logs, so that it works where no process is left to ask.
func (a *app) flowLosses() *cobra.Command {
	o := a.operator(&cobra.Command{Use: "losses FILE...", Args: cobra.MinimumNArgs(1),
		Short: "Tell from logs what flows did not earn and what kept them; - reads standard input"})
	o.cobra.RunE = func(cmd *cobra.Command, args []string) error {
		var account kqloss.Analyzer
		for _, file := range args {
			if err := readLog(&account, cmd.InOrStdin(), file); err != nil {
				return err
			}
		}
		r := account.Report()
		if len(r.Queues) == 0 && r.Pacing.ServingMS == 0 {
			return kqresult.Errorf(kqresult.BadDocument, "no flow was taken in these logs (%d lines could not be read)", r.UnreadableLines)
		}
		return o.print(r, lossTable(r))
	}
	return o.cobra
}

func readLog(account *kqloss.Analyzer, in io.Reader, file string) error {
	if file == "-" {
		return account.Read(in)
	}
	f, err := os.Open(file)
	if err != nil {
		return kqresult.Errorf(kqresult.BadDocument, "%v", err)
	}
	defer f.Close()
	return account.Read(f)
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
		t.add(row...)
	}
	t.add()
	t.add("QUEUE", "SIZE", "FLOWS", "IN TIME", "SERVED", "SHARE", "OF THE QUEUE'S")
	for _, s := range r.Sizes {
		t.add(s.Queue, s.Band, s.Jobs, s.InTime, s.Served, fmt.Sprintf("%.2f", s.ServedShare), fmt.Sprintf("%.2f", s.RelativeShare))
	}
	t.add()
	t.add("QUEUE", "BY", "NAME", "FLOWS", "REJECTED", "OWED", "LOST", "WAITED")
	for _, g := range r.Groups {
		t.add(g.Queue, g.By, g.Name, g.Jobs, g.Rejected, fmt.Sprintf("%.1f", g.Value), fmt.Sprintf("%.1f", g.LostValue), fmt.Sprintf("%.1f s", g.WaitSeconds))
	}
	t.add()
	t.add(fmt.Sprintf("serving tasks: %.0f s at work, %.0f s over their target by what fills beside them, %.0f s by their own load",
		r.Pacing.ServingMS/msPerSecond, r.Pacing.OverTargetByFillingMS/msPerSecond, r.Pacing.OverTargetByLoadMS/msPerSecond))
	t.add(fmt.Sprintf("filling tasks: %.0f core-seconds there, %.0f of it withheld", r.Pacing.FillingMS/msPerSecond, r.Pacing.ThrottledMS/msPerSecond))
	return t
}
