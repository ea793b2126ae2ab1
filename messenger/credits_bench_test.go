package messenger

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pimentorelay.example/pimento"
	"pimentorelay.example/pimento/allocator"
)

// BenchmarkCredits measures what shares of quotas cost in messages: the bytes a second that a
// dispatcher gets and sends for them, and the time of the leader for one second of all, with 79
// customers and 31 requests a second for each process.
func BenchmarkCredits(b *testing.B) {
	const customers, perProcess, heartbeats = 79, 31, 5
	for _, c := range []struct{ processes, dispatchers int }{{10, 4}, {74, 15}, {300, 55}} {
		b.Run(fmt.Sprintf("%d processes, %d dispatchers", c.processes, c.dispatchers), func(b *testing.B) {
			list := make([]pimento.Customer, customers)
			rate := float64(perProcess*c.processes) / customers
			for i := range list {
				list[i] = pimento.Customer{Name: pimento.CustomerName(fmt.Sprintf("yefi%04d", i)), Rate: 1.6 * rate, Burst: 1.6 * rate}
			}
			random := rand.New(rand.NewPCG(1, 1))
			now := time.Unix(1000, 0)
			leader := allocator.New(now)
			accounts := make([]allocator.Account, c.dispatchers)
			var ids []pimento.ProcessID
			for i := range accounts {
				ids = append(ids, pimento.ProcessID(fmt.Sprint("p", i)))
			}
			leader.SetDispatchers(ids)
			leader.SetQuotas(now, list, allocator.Tolerance{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20})
			got, sent := 0, 0
			var waiting []*pimento.Customer
			for range b.N {
				for range heartbeats {
					now = now.Add(time.Second / heartbeats)
					for i := range accounts {
						a := &accounts[i]
						grants := &Credits{Dispatchers: c.dispatchers, Grants: leader.Grants(now, ids[i])}
						a.Apply(now, 1, c.dispatchers, grants.Grants)
						for range perProcess * c.processes / c.dispatchers / heartbeats {
							if c := &list[random.IntN(customers)]; a.Ask(now, c) == allocator.Waiting {
								waiting = append(waiting, c)
							}
						}
						uses := a.Uses(now)
						for _, c := range waiting { // each until the next heartbeat
							a.Leave(c)
						}
						waiting = waiting[:0]
						leader.Report(now, ids[i], uses)
						got += encodedLen(b, grants)
						sent += encodedLen(b, uses)
					}
				}
			}
			b.ReportMetric(float64(got)/float64(b.N*c.dispatchers), "B/s-received")
			b.ReportMetric(float64(sent)/float64(b.N*c.dispatchers), "B/s-sent")
		})
	}
}

func encodedLen(b *testing.B, v any) int {
	data, err := encMode.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return len(data)
}
