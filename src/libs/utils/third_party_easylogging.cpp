// easylogging++ ships one source file that each program compiles itself.
#include <easylogging++.cc>
