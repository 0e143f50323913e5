package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// stage is what a case gets.
type stage struct {
	*deployment
	history *history
	// trouble is false if the case is played without its disruption.
	trouble bool
	broken  []string
}

// breakf notes that the rule was broken.
func (s *stage) breakf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.rec.logf("BROKEN %s", text)
	s.broken = append(s.broken, text)
}

// cases are the cases by the number of their folder.
var cases = map[string]func(s *stage){
	"14": endedSteps,
	"15": failureCopy,
	"16": largeSteps,
	"17": misdirectedCopy,
}

func main() { os.Exit(play()) }

// play plays the case that the arguments name: its number, and the path of its
// record.txt, which it writes.
func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage NUMBER RECORD")
		return exitNotRun
	}
	defer func() {
		switch cause := recover().(type) {
		case nil:
		case failure:
			fmt.Fprintln(os.Stderr, "not run:", cause.err)
			code = exitNotRun
		default:
			fmt.Fprintln(os.Stderr, "not run:", cause)
			code = exitNotRun
		}
	}()
	rec := newRecord(os.Args[2])
	defer rec.file.Close()
	d := newDeployment(rec)
	defer d.stop()
	s := &stage{deployment: d, history: &history{rec: rec}, trouble: os.Getenv("TROUBLE") != "0"}
	rec.logf("case %s, trouble %v", os.Args[1], s.trouble)
	cases[os.Args[1]](s)
	if len(s.broken) > 0 {
		fmt.Printf("broken: %s (%d in all)\n", s.broken[0], len(s.broken))
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}
