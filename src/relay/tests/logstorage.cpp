#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
