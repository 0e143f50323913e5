package resume_test

import (
	"fmt"

	"github.com/cumincove/cumincove/resume"
)

// A stream is interrupted after its first chunk, in the middle of a line, and
// continues at another endpoint.
func Example() {
	s, _ := resume.New([]byte(`{"prompt":"p","max_tokens":3,"seed":7}`), true)
	out, _ := s.Feed([]byte(`{"index":0,"tokens":[11],"weight_version":4}` + "\n" + `{"index":1,"tok`))
	fmt.Printf("%s", out)
	s.EndSegment()
	fmt.Println(string(s.Body()))
	out, _ = s.Feed([]byte(`{"index":1,"tokens":[12,13],"weight_version":4,"done":true}` + "\n"))
	fmt.Printf("%s%v\n", out, s.Done())
	// Output:
	// {"index":0,"tokens":[11],"weight_version":4}
	// {"max_tokens":3,"prompt":"p","resume":[11],"seed":7}
	// {"index":1,"tokens":[12,13],"weight_version":4,"done":true}
	// true
}
