#include "http/client.h"

#include "http/internal/curlsupport.h"

namespace http {

namespace {

/// Aborts the transfer once it is cancelled.
int onProgress(void *Context, curl_off_t, curl_off_t, curl_off_t, curl_off_t) {
  const auto &Cancel = *static_cast<const std::atomic<bool> *>(Context);
  return Cancel.load() ? 1 : 0;
}

} // namespace

struct Client::State {
  CURL *Handle = curl_easy_init();
  ~State() { curl_easy_cleanup(Handle); }

  void applyOptions(const ExchangeOptions &Options) {
    applyCommonOptions(Handle, Options.Timeout, Options.ConnectTimeout);
    if (Options.FreshConnection) {
      curl_easy_setopt(Handle, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt(Handle, CURLOPT_FORBID_REUSE, 1L);
    }
    if (Options.Cancel == nullptr)
      return;
    curl_easy_setopt(Handle, CURLOPT_XFERINFOFUNCTION, &onProgress);
    curl_easy_setopt(Handle, CURLOPT_XFERINFODATA, Options.Cancel);
    curl_easy_setopt(Handle, CURLOPT_NOPROGRESS, 0L);
  }

  /// A timeout may also occur while connecting; then nothing was sent.
  /// `CURLINFO_NUM_CONNECTS` doesn't tell whether the attempt succeeded.
  bool nothingSent() {
    curl_off_t TransferMicroseconds = 0;
    curl_easy_getinfo(Handle, CURLINFO_PRETRANSFER_TIME_T,
                      &TransferMicroseconds);
    long RequestBytes = 0;
    curl_easy_getinfo(Handle, CURLINFO_REQUEST_SIZE, &RequestBytes);
    return TransferMicroseconds == 0 && RequestBytes == 0;
  }
};

Client::Client() {
  initializeCurl();
  Impl = std::make_unique<State>();
}

Client::~Client() = default;

ExchangeResult Client::exchange(const std::string &BaseUrl,
                                const Request &Message,
                                const ExchangeOptions &Options) {
  ResponseCollector Collector;
  Collector.MaxBytes = Options.MaxResponseBytes;
  curl_easy_reset(Impl->Handle);
  std::string Url = BaseUrl + Message.Path;
  if (!Message.Query.empty())
    Url += "?" + Message.Query;
  curl_easy_setopt(Impl->Handle, CURLOPT_URL, Url.c_str());
  applyMethod(Impl->Handle, Message);
  Impl->applyOptions(Options);
  collectResponse(Impl->Handle, Collector);
  curl_slist *HeaderList = makeHeaderList(Message);
  curl_easy_setopt(Impl->Handle, CURLOPT_HTTPHEADER, HeaderList);
  const CURLcode Code = curl_easy_perform(Impl->Handle);
  curl_slist_free_all(HeaderList);
  ExchangeResult Result = makeResult(Impl->Handle, Code, Collector);
  if (Result.Status == ExchangeStatus::TimedOut && Impl->nothingSent())
    Result.Status = ExchangeStatus::NotSent;
  return Result;
}

} // namespace http
