package manifest_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"chestnutcleat.example/chestnutcleat"
	"chestnutcleat.example/chestnutcleat/manifest"
	"chestnutcleat.example/chestnutcleat/standin/resources"
)

// BenchmarkView measures, per customer, the size of a manifest's text, the time to decode and index it after a change,
// and the heap that the index needs.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{312, 1250, 5000} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			var m chestnutcleat.Manifest
			for i := range n {
				key := chestnutcleat.DigestOf(fmt.Append(nil, "key", i))
				m.Customers = append(m.Customers, chestnutcleat.Customer{ID: chestnutcleat.CustomerID(fmt.Sprint("customer-", i)), Keys: []chestnutcleat.Digest{key}, Rate: 20, Burst: 40})
			}
			raw, err := json.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			var view *manifest.View
			before := resources.LiveHeap()
			for b.Loop() {
				var next chestnutcleat.Manifest
				if err := json.Unmarshal(raw, &next); err != nil {
					b.Fatal(err)
				}
				view = manifest.NewView(next)
			}
			b.ReportMetric((float64(resources.LiveHeap())-float64(before))/float64(n), "heapB/customer")
			b.ReportMetric(float64(len(raw))/float64(n), "textB/customer")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/customer")
			runtime.KeepAlive(view)
		})
	}
}
