package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/cumincove/cumincove/clock"
	"github.com/cumincove/cumincove/config"
	"github.com/cumincove/cumincove/fairqueue"
	"github.com/cumincove/cumincove/label"
	"github.com/cumincove/cumincove/limit"
	"github.com/cumincove/cumincove/view"
	"github.com/uber-go/tally/v4"
)

// BenchmarkFull measures the release of a slot and its assignment to waiting work
// while every endpoint is full.
func BenchmarkFull(b *testing.B) {
	for _, size := range []struct{ teams, endpoints int }{{1, 10}, {10, 10}, {100, 10}, {100, 100}, {100, 1_600}} {
		b.Run(fmt.Sprintf("teams=%d/endpoints=%d", size.teams, size.endpoints), func(b *testing.B) {
			c := config.NewState()
			c.Services["s"] = config.Service{Meta: config.Meta{Name: "s"}, Endpoints: label.MustParse("")}
			for i := range size.endpoints {
				name := fmt.Sprint(i)
				c.Endpoints[name] = config.Endpoint{Meta: config.Meta{Name: name}}
			}
			views := view.NewStore()
			views.Update(func(v *view.View) { v.SetConfig(c) })
			d := New(Options{
				Views: views, Clock: clock.Boot{}, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
				Queue: fairqueue.DefaultOptions(), Limit: limit.Options{Initial: 1, Min: 1, Max: 1, Tolerance: 1},
			})
			slots := make(chan *Slot, 10_000)
			for i := range size.endpoints + 200 {
				go func() {
					w := Work{Service: "s", Team: fmt.Sprint(i % size.teams), Deadline: d.opt.Clock.Now() + time.Hour}
					for {
						slot, err := d.Acquire(context.Background(), w)
						if err != nil {
							return
						}
						slots <- slot
					}
				}()
			}
			for b.Loop() {
				slot := <-slots
				slot.RecordFirstByte()
				slot.Done(Answered)
			}
		})
	}
}
